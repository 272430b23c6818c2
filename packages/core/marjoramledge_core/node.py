"""The state machine of one node, with its events and commands."""

from marjoramledge_core import _budget
from marjoramledge_core import _commands
from marjoramledge_core import _events
from marjoramledge_core import _gate
from marjoramledge_core import _gate_handlers
from marjoramledge_core import _members
from marjoramledge_core import _node
from marjoramledge_core import _options
from marjoramledge_core import _outcomes
from marjoramledge_core import _quarantine
from marjoramledge_core import _quota_bound
from marjoramledge_core import _quota_messages
from marjoramledge_core import _records
from marjoramledge_core import _replay
from marjoramledge_core import _reports
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_status
from marjoramledge_core import _server_status
from marjoramledge_core import _signals
from marjoramledge_core import _state
from marjoramledge_core import _zone_overflow

Identity = _node.Identity
NodeState = _state.NodeState
StopPhase = _state.StopPhase
FleetRetryBudget = _budget.FleetRetryBudget
ZoneOverflow = _zone_overflow.ZoneOverflow
Options = _options.Options
QuotaBound = _quota_bound.QuotaBound
QuotaReport = _quota_messages.QuotaReport
QuotaShare = _quota_messages.QuotaShare
Vote = _quota_messages.Vote
DEFAULT_OUTDATED_LIMIT_S = _options.DEFAULT_OUTDATED_LIMIT_S
create_state = _node.create_state
handle = _node.handle
next_wakeup = _node.next_wakeup

Address = _members.Address
LoadReport = _reports.LoadReport
Member = _members.Member
MAX_SLOTS = _members.MAX_SLOTS
MemberStatus = _members.MemberStatus
Message = _members.Message
MessageKind = _members.MessageKind
Reason = _outcomes.Reason
Record = _records.Record
ReplayGuard = _replay.ReplayGuard
RecordKind = _records.RecordKind
Suspicion = _quarantine.Suspicion
DEFAULT_EXPOSE_SHARE = _rollout_orders.DEFAULT_EXPOSE_SHARE
RolloutNotice = _rollout_orders.RolloutNotice
RolloutOptions = _rollout_orders.RolloutOptions
RolloutPhase = _rollout_orders.RolloutPhase
RolloutRow = _rollout_orders.RolloutRow
RolloutState = _rollout_orders.RolloutState
EvidenceReport = _rollout_orders.EvidenceReport
KindEvidence = _rollout_orders.KindEvidence
ResponseCounts = _rollout_orders.ResponseCounts
RunState = _outcomes.RunState
Server = _gate.Server
ServerStart = _server_status.ServerStart
ANY_START = _server_status.ANY_START
ServerOutcome = _outcomes.ServerOutcome
ServerState = _members.ServerState
ServerSignals = _signals.ServerSignals
NO_SIGNALS = _signals.NO_SIGNALS
ServerStatus = _server_status.ServerStatus
build_status = _gate_handlers.build_status

AnswerLost = _events.AnswerLost
AttemptAnswered = _events.AttemptAnswered
AttemptFailed = _events.AttemptFailed
CallArrived = _events.CallArrived
CallEnded = _events.CallEnded
CallerDisconnected = _events.CallerDisconnected
Event = _events.Event
ManifestFailed = _events.ManifestFailed
ManifestFetched = _events.ManifestFetched
MembersReceived = _events.MembersReceived
describe_rollouts = _rollout_status.describe_rollouts
RolloutRead = _events.RolloutRead
RolloutWritten = _events.RolloutWritten
DrainOrdered = _events.DrainOrdered
MessageReceived = _events.MessageReceived
ProbeEnded = _events.ProbeEnded
STORED_INCARNATION = _members.STORED_INCARNATION
build_stored_member = _members.build_stored
StoredMembersRead = _events.StoredMembersRead
ServerAnnounced = _events.ServerAnnounced
ServerSignalled = _events.ServerSignalled
ServerDraining = _events.ServerDraining
ServerWithdrawn = _events.ServerWithdrawn
DeparturesRead = _events.DeparturesRead
VersionReadEnded = _events.VersionReadEnded
OptionsChanged = _events.OptionsChanged
StopRequested = _events.StopRequested
TimePassed = _events.TimePassed
VersionRead = _events.VersionRead
WorkAbandoned = _events.WorkAbandoned
WorkEnded = _events.WorkEnded
WorkOffered = _events.WorkOffered

CancelAttempt = _commands.CancelAttempt
Command = _commands.Command
DeliverAnswer = _commands.DeliverAnswer
FetchManifest = _commands.FetchManifest
ProbeServer = _commands.ProbeServer
ReadVersion = _commands.ReadVersion
ReadRollout = _commands.ReadRollout
WriteRollout = _commands.WriteRollout
RefuseCall = _commands.RefuseCall
RefuseWork = _commands.RefuseWork
RegisterMember = _commands.RegisterMember
RestoreRows = _commands.RestoreRows
RunOnServer = _commands.RunOnServer
SendMessage = _commands.SendMessage
SendToPeer = _commands.SendToPeer
StartWork = _commands.StartWork
StopAccepting = _commands.StopAccepting
StopNode = _commands.StopNode
StoreDeparture = _commands.StoreDeparture
SyncMembers = _commands.SyncMembers
WriteRecord = _commands.WriteRecord
