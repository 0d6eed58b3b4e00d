"""Identifier types."""

from typing import NewType

RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
EntryId = NewType("EntryId", str)
TargetId = NewType("TargetId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software of a target, not of the model that it serves."""
CustomerId = NewType("CustomerId", str)
TenantId = NewType("TenantId", str)
KeyDigest = NewType("KeyDigest", bytes)
"""Digest of an API key; the key can't be derived from it."""
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)
Incarnation = NewType("Incarnation", str)
MemberKey = NewType("MemberKey", int)
"""Short identifier of one start of an entry process, for compact messages."""
SuspectKey = NewType("SuspectKey", int)
"""Hash of a part of a prompt or of a whole request, for compact messages."""
StreamKey = NewType("StreamKey", int)
"""Hash of the service and the first request of a stream, for compact messages."""
CrashKey = NewType("CrashKey", int)
"""Hash of the start of a target that crashed."""
