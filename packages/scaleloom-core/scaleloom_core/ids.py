"""Types of identifiers that processes of the fleet exchange."""

from typing import NewType

AdapterName = NewType("AdapterName", str)
AttemptId = NewType("AttemptId", str)
CauseDigest = NewType("CauseDigest", int)
ChatId = NewType("ChatId", str)
CustomerId = NewType("CustomerId", str)
DataCentreName = NewType("DataCentreName", str)
EntryKey = NewType("EntryKey", str)
Incarnation = NewType("Incarnation", str)
InstanceId = NewType("InstanceId", str)
ModelName = NewType("ModelName", str)
Offset = NewType("Offset", int)
RecordId = NewType("RecordId", str)
ServiceName = NewType("ServiceName", str)
SlotNumber = NewType("SlotNumber", int)
StreamKey = NewType("StreamKey", int)
TargetId = NewType("TargetId", str)
TargetStart = NewType("TargetStart", int)
Version = NewType("Version", str)
