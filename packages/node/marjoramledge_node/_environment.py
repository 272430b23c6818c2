"""Environment adapters: the interfaces that a platform can replace.

The defaults are those of the product; a platform adapter passes its own.
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
    """The interfaces of a node to its platform.

    ``read_announcement`` parses a backend server's request from its method,
    target and body, and the IP address to use if the body has none.
    ``open_store`` is called once, inside the event loop.  ``read_options``
    reads the current settings and returns the node's options, or the
    problem found.
    """

    dialect: _dialect.Dialect = _dialect.DEFAULT_DIALECT
    read_announcement: AnnouncementReader = _announcements.read_announcement
    read_configuration: ConfigurationReader = _manifests.parse_manifest
    open_store: collections.abc.Callable[[], client.NodeStore | None] = (
        lambda: None
    )
    read_options: OptionsReader | None = None
