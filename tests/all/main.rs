//! Tests over real sockets on loopback, by feature.

mod bad_input;
mod broken_answers;
mod burst;
mod control;
mod drain;
mod lease;
mod operator;
mod path;
mod programs;
mod support;
