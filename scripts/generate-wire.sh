#!/usr/bin/env bash
# Regenerates crates/wire/src/peer_capnp.rs from crates/wire/schema/peer.capnp.
#
# The script is needed only after a change of the schema, because the generated file is committed and the build does
# not run the generator.
# The script needs the Cap'n Proto compiler (`capnp`) in PATH and the plugin `capnpc-rust`, which is installed with:
#   cargo install capnpc --version 0.27.0 --root TOOLS
# CAPNPC_RUST is the path of the plugin if the plugin is not in PATH.
set -euo pipefail
cd "$(dirname "$0")/.."

plugin=${CAPNPC_RUST:-$(command -v capnpc-rust)}
capnp compile -o "$plugin:crates/wire/src" --src-prefix=crates/wire/schema crates/wire/schema/peer.capnp
rustfmt --edition 2024 crates/wire/src/peer_capnp.rs
