//! Tests over real sockets on loopback, by feature.

mod path;
mod support;
