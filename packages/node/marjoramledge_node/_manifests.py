"""Configurations read out of manifests, the product's own form of them."""

from marjoramledge_core import configuration
from marjoramledge_core import ids
from returns import result

ParseResult = result.Result[configuration.Configuration, str]


def parse_manifest(content: bytes, digest: ids.Digest) -> ParseResult:
    """Read the configuration out of a manifest, or tell what is wrong."""
    manifest = configuration.decode_manifest(content, digest)
    if isinstance(manifest, result.Failure):
        return manifest
    return parse_decoded_manifest(manifest.unwrap())


def parse_decoded_manifest(manifest: configuration.Manifest) -> ParseResult:
    """Read the configuration that a manifest's documents declare."""
    parsed = configuration.parse_documents(manifest.files)
    return parsed.alt(lambda problems: "; ".join(map(str, problems)))
