#!/usr/bin/env bash
# Regenerates crates/wire/src/peer_capnp.rs from crates/wire/schema/peer.capnp.
#
# Needed only after a change of the schema; the generated file is committed and the build runs no generator.
# Needs the Cap'n Proto compiler (`capnp`) in PATH and the plugin `capnpc-rust`:
#   cargo install capnpc --version 0.27.0 --root TOOLS
# CAPNPC_RUST names the plugin if it is not in PATH.
set -euo pipefail
cd "$(dirname "$0")/.."

plugin=${CAPNPC_RUST:-$(command -v capnpc-rust)}
capnp compile -o "$plugin:crates/wire/src" --src-prefix=crates/wire/schema crates/wire/schema/peer.capnp
rustfmt --edition 2024 crates/wire/src/peer_capnp.rs
