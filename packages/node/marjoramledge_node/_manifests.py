"""Parsing of manifests, the product's own configuration format."""

from marjoramledge_core import configuration
from marjoramledge_core import ids
from returns import result

ParseResult = result.Result[configuration.Configuration, str]


def parse_manifest(content: bytes, digest: ids.Digest) -> ParseResult:
    """Parse a manifest's configuration, or return the problem found."""
    manifest = configuration.decode_manifest(content, digest)
    if isinstance(manifest, result.Failure):
        return manifest
    return parse_decoded_manifest(manifest.unwrap())


def parse_decoded_manifest(manifest: configuration.Manifest) -> ParseResult:
    """Parse the documents of a decoded manifest into a configuration."""
    parsed = configuration.parse_documents(manifest.files)
    return parsed.alt(lambda problems: "; ".join(map(str, problems)))
