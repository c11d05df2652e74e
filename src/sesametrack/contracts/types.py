"""Shared type aliases."""

from typing import TypeAlias

# Seconds on a monotonic clock; only differences have a meaning.
Instant: TypeAlias = float
Seconds: TypeAlias = float
Milliseconds: TypeAlias = float

UpstreamId: TypeAlias = str
ServiceId: TypeAlias = str
FailureDomainId: TypeAlias = str
VmId: TypeAlias = str
MemberId: TypeAlias = str
ShardId: TypeAlias = str
Fingerprint: TypeAlias = str
SubQueryId: TypeAlias = str
# An address in the form 'IP:port'.
Address: TypeAlias = str
Revision: TypeAlias = int
Digest: TypeAlias = str
