"""Inventory and rules: values, parser, manifests and differences."""

from marjoramledge_core import _document
from marjoramledge_core import _document_review
from marjoramledge_core import _manifest
from marjoramledge_core import _plan
from marjoramledge_core import _request_limits
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _routes
from marjoramledge_core import _settings
from marjoramledge_core import _version_numbers
from marjoramledge_core import _workspaces

FILE_NAMES = _document.FILE_NAMES
INVENTORY_FILE = _document.INVENTORY_FILE
MAX_MANIFEST_BYTES = _manifest.MAX_MANIFEST_BYTES
NO_VERSION = _manifest.NO_VERSION
RULES_FILE = _document.RULES_FILE
UNKNOWN_ERA = _version_numbers.UNKNOWN_ERA

Change = _plan.Change
ChangeAction = _plan.ChangeAction
Configuration = _settings.Configuration
DocumentReview = _document_review.DocumentReview
Finding = _document_review.Finding
KnownVersion = _manifest.KnownVersion
LocatedChange = _document_review.LocatedChange
Manifest = _manifest.Manifest
ProbeBudget = _settings.ProbeBudget
Priority = _settings.Priority
Problem = _document.Problem
RolloutOrder = _rollout_orders.RolloutOrder
RequestKind = _settings.RequestKind
RequestLimits = _request_limits.RequestLimits
Route = _routes.Route
RouteTable = _routes.RouteTable
ServiceShare = _settings.ServiceShare
DEFAULT_HEAD_TIMEOUT_S = _request_limits.DEFAULT_HEAD_TIMEOUT_S
DEFAULT_IDLE_TIMEOUT_S = _request_limits.DEFAULT_IDLE_TIMEOUT_S
DEFAULT_MAX_BODY_BYTES = _request_limits.DEFAULT_MAX_BODY_BYTES
DEFAULT_MAX_HEAD_BYTES = _request_limits.DEFAULT_MAX_HEAD_BYTES
DEFAULT_DEADLINE_S = _settings.DEFAULT_DEADLINE_S
Service = _settings.Service
Workspace = _workspaces.Workspace
WorkspaceTable = _workspaces.WorkspaceTable
digest_key = _workspaces.digest_key
VersionRef = _manifest.VersionRef
Zone = _settings.Zone

compare_configurations = _plan.compare_configurations
decode_manifest = _manifest.decode_manifest
compute_digest = _manifest.compute_digest
encode_manifest = _manifest.encode_manifest
locate_changes = _document_review.locate_changes
parse_documents = _document.parse_documents
review_documents = _document_review.review_documents

assume_era = _version_numbers.assume_era
era_of = _version_numbers.era_of
format_version = _version_numbers.format_version
number_of = _version_numbers.number_of
pack_version = _version_numbers.pack_version
