"""What a node stands in: one interface for each outside party.

The product's own parts are the default; a deployment's adapter brings others.
"""

import collections.abc
import dataclasses

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_store import client
from returns import result

from marjoramledge_node import _announcements
from marjoramledge_node import _dialect
from marjoramledge_node import _manifests
from marjoramledge_node import _options

AnnouncementReader = collections.abc.Callable[
    [str, str, bytes, str],
    result.Result[node.Event, tuple[str, ...]],
]
ConfigurationReader = collections.abc.Callable[
    [bytes, ids.Digest], result.Result[configuration.Configuration, str]
]
OptionsReader = collections.abc.Callable[
    [], result.Result[_options.Options, str]
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """The outside parties of a node, each behind one interface.

    ``read_announcement`` takes the method, target and body of a backend
    server's request, and the IP number of one that names none.
    ``open_store`` is called once, inside the event loop.  ``read_options``
    reads the settings again; it returns what the node starts with, or what
    is wrong.
    """

    dialect: _dialect.Dialect = _dialect.DEFAULT_DIALECT
    read_announcement: AnnouncementReader = _announcements.read_announcement
    read_configuration: ConfigurationReader = _manifests.parse_manifest
    open_store: collections.abc.Callable[[], client.NodeStore | None] = (
        lambda: None
    )
    read_options: OptionsReader | None = None
