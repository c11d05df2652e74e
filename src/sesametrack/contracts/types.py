"""Shared type aliases."""

from typing import TypeAlias

# Time on a monotonic clock in seconds; only differences are meaningful.
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
WorkspaceId: TypeAlias = str
# SHA-256 of a caller's key, as hexadecimal digits.
KeyDigest: TypeAlias = str
SubQueryId: TypeAlias = str
# Host and port in the form 'IP:port'.
Address: TypeAlias = str
Revision: TypeAlias = int
Digest: TypeAlias = str
