//! What a reader of the list of endpoints tells the other entries, by way of a
//! control instance.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One endpoint, as the list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name and start.
    pub run: Incarnation,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests it can run at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// One read of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRead {
    /// The same for the same content.
    pub mark: u64,
    /// How long ago it was asked for.
    pub age: Duration,
    /// The endpoints; left out where the receiver has this content.
    pub endpoints: Option<Vec<Listed>>,
}
