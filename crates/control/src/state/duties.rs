//! Duties that one machine holds at a time, and their fencing numbers.
//!
//! A duty is named by what it is and what it is about. Its lease is prolonged by whoever
//! holds it, and passes to another machine once it has ended. Invariants:
//!
//! * a fencing number is the place in the log of the command that gave it: it is never
//!   given twice and only rises, whatever is lost beside the log;
//! * each run of a machine's process has a number of its own, since it doesn't know what
//!   the run before has under way;
//! * a machine that the lease has left gets it back no sooner than one whole lease later,
//!   so that two machines never act in turns within one.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most duties that are held; beyond them none is given.
const MOST: usize = 10_000;

/// Who holds a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHolder {
    /// The machine, by the internal address of its control instance.
    pub machine: SocketAddr,
    /// Names the run of its process.
    pub run: u64,
}

/// Asks for the lease of a duty, or prolongs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// What the duty is.
    pub duty: String,
    /// What it is about.
    pub subject: String,
    /// Who asks.
    pub holder: DutyHolder,
    /// How long the lease is wanted for.
    pub lasting: Duration,
    /// A fencing number that was refused as too low; 0 for none. The number that is given
    /// is another one.
    pub refused: Fence,
}

/// Answer to [`Hold`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holds {
    /// The duty is held under this number.
    Held(Fence),
    /// The asking machine can't hold it for this long at least.
    Other(Duration),
}

/// Gives a lease up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveUp {
    /// What the duty is.
    pub duty: String,
    /// What it is about.
    pub subject: String,
    /// Who held it.
    pub holder: DutyHolder,
}

/// A machine that the lease has left.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Former {
    machine: SocketAddr,
    /// When it may hold the lease again.
    back: Duration,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    duty: String,
    subject: String,
    holder: DutyHolder,
    fence: Fence,
    until: Duration,
    former: Vec<Former>,
}

/// A duty and who holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// What the duty is.
    pub duty: String,
    /// What it is about.
    pub subject: String,
    /// Who holds it, or held it last.
    pub holder: DutyHolder,
    /// Under which number.
    pub fence: Fence,
}

/// All leases, sorted by duty and subject. One that ended stays, for its number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Duties {
    leases: Vec<Lease>,
}

impl Duties {
    /// Gives or prolongs a lease, by the command at `index`.
    pub fn hold(&mut self, index: Revision, now: Duration, hold: &Hold) -> Holds {
        match self.find(&hold.duty, &hold.subject) {
            Ok(at) => self.leases[at].hold(index, now, hold),
            Err(_) if self.leases.len() >= MOST => Holds::Other(hold.lasting),
            Err(at) => {
                let lease = Lease {
                    duty: hold.duty.clone(),
                    subject: hold.subject.clone(),
                    holder: hold.holder,
                    fence: index,
                    until: now + hold.lasting,
                    former: Vec::new(),
                };
                self.leases.insert(at, lease);
                Holds::Held(index)
            }
        }
    }

    /// Ends a lease, where it is still the same holder's.
    pub fn give_up(&mut self, now: Duration, given: &GiveUp) {
        if let Ok(at) = self.find(&given.duty, &given.subject) {
            let lease = &mut self.leases[at];
            if lease.holder == given.holder {
                lease.until = lease.until.min(now);
            }
        }
    }

    /// All duties that were ever held.
    pub fn held(&self) -> Vec<HeldDuty> {
        let held = self.leases.iter().map(|lease| HeldDuty {
            duty: lease.duty.clone(),
            subject: lease.subject.clone(),
            holder: lease.holder,
            fence: lease.fence,
        });
        held.collect()
    }

    fn find(&self, duty: &str, subject: &str) -> Result<usize, usize> {
        self.leases.binary_search_by(|lease| {
            (lease.duty.as_str(), lease.subject.as_str()).cmp(&(duty, subject))
        })
    }
}

impl Lease {
    fn hold(&mut self, index: Revision, now: Duration, hold: &Hold) -> Holds {
        let until = now + hold.lasting;
        if self.holder == hold.holder {
            if hold.refused >= self.fence {
                self.fence = index;
            }
            self.until = self.until.max(until);
            return Holds::Held(self.fence);
        }
        let moves = self.holder.machine != hold.holder.machine;
        if moves {
            self.former.retain(|former| former.back > now);
            let barred = |former: &&Former| former.machine == hold.holder.machine;
            let back = self.former.iter().find(barred).map(|former| former.back);
            let free = self.until.max(back.unwrap_or_default());
            if now < free {
                return Holds::Other(free - now);
            }
            self.former.push(Former {
                machine: self.holder.machine,
                back: until,
            });
        }
        self.holder = hold.holder;
        self.fence = index;
        self.until = until;
        Holds::Held(index)
    }
}
