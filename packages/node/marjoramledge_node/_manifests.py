"""Configurations read out of manifests, the product's own form of them."""

from marjoramledge_core import configuration
from marjoramledge_core import ids
from returns import result

Read = result.Result[configuration.Configuration, str]


def parse_manifest(content: bytes, digest: ids.Digest) -> Read:
    """Read the configuration out of a manifest, or tell what is wrong."""
    manifest = configuration.decode_manifest(content, digest)
    if isinstance(manifest, result.Failure):
        return manifest
    return read_documents(manifest.unwrap())


def read_documents(manifest: configuration.Manifest) -> Read:
    """Read the configuration that a manifest's documents declare."""
    parsed = configuration.parse_documents(manifest.files)
    return parsed.alt(lambda problems: "; ".join(map(str, problems)))
