//! Integration tests of the daemons over loopback sockets, one module per feature.

mod bad_input;
mod control;
mod drain;
mod end_to_end;
mod invalid_answers;
mod lease;
mod operator;
mod overload;
mod programs;
mod support;
