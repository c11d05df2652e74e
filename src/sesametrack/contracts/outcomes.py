"""Outcomes of requests, and reasons for missing results."""

from enum import Enum


class Outcome(Enum):
    """Outcome of a request as reported to the caller."""

    ran = 'ran'
    not_run = 'not-run'
    unknown = 'unknown'


class Reason(Enum):
    """Reason why a sub-query was not answered or a shard is missing."""

    none = ''
    no_replica = 'no_replica'
    deadline = 'deadline'
    queue_full = 'queue_full'
    shed = 'shed'
    draining = 'draining'
    failure_domain_out = 'failure_domain_out'
    snapshot_gone = 'snapshot_gone'
    connection_lost = 'connection_lost'
    link_lost = 'link_lost'
    no_gate = 'no_gate'
    not_owner = 'not_owner'
    no_idle_slot = 'no_idle_slot'
    cancelled = 'cancelled'
    quarantined = 'quarantined'
    upstream_error = 'upstream_error'
    overload = 'overload'
    unknown_upstream = 'unknown_upstream'
    stopping = 'stopping'
