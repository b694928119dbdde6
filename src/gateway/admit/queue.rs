//! The order of the requests that wait for one service: by priority, then by start-time fair
//! queueing among workspaces, then by due time.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::ident;
use crate::policy::fair;

/// Number of more urgent requests after which a waiting request of a lower priority is served.
pub const MAX_PASSED_OVER: u32 = 16;

/// Requests of one priority that may wait. A workspace without any may add one beyond that.
pub const MAX_REQUESTS: usize = 512;

/// Requests of one workspace and priority that may wait.
pub const MAX_OF_WORKSPACE: usize = 128;

/// A request to be queued.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its workspace.
    pub workspace: ident::Workspace,
    /// When its response is due.
    pub due: Instant,
    /// Identifies the request to its owner.
    pub ticket: T,
}

/// The position of a queued request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    priority: u8,
    position: fair::Position,
}

impl Position {
    /// Returns the priority of the request.
    pub fn priority(&self) -> u8 {
        self.priority
    }
}

/// Requests that wait for one service.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Requests by priority. Levels without requests are dropped.
    levels: BTreeMap<u8, Level<T>>,
}

#[derive(Clone, Debug)]
struct Level<T> {
    queue: fair::Queue<T>,
    /// More urgent requests served since one of this level was, or since it has requests.
    passed_over: u32,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            levels: BTreeMap::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.levels.values().map(|level| level.queue.len()).sum()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Returns the number of queued requests of each priority that has any.
    pub fn lengths(&self) -> impl Iterator<Item = (u8, usize)> {
        let levels = self.levels.iter();
        levels.map(|(priority, level)| (*priority, level.queue.len()))
    }

    /// Checks whether a request may be queued.
    pub fn check_room(&self, priority: u8, workspace: &ident::Workspace) -> Result<(), fair::Full> {
        let level = self.levels.get(&priority);
        level.map_or(Ok(()), |level| level.queue.check_room(workspace))
    }

    /// Queues a request.
    pub fn push(&mut self, entry: Entry<T>) -> Position {
        let level = self.levels.entry(entry.priority).or_insert_with(|| Level {
            queue: fair::Queue::new(fair::Limits {
                total: MAX_REQUESTS,
                workspace: MAX_OF_WORKSPACE,
                ..fair::Limits::default()
            }),
            passed_over: 0,
        });
        let item = fair::Item {
            workspace: entry.workspace,
            deadline: entry.due,
            ticket: entry.ticket,
        };
        Position {
            priority: entry.priority,
            position: level.queue.push_due(entry.due, 1, item),
        }
    }

    /// Returns the position of the first request that `fits`.
    pub fn next(&self, fits: impl Fn(&T) -> bool) -> Option<Position> {
        let overdue = self.levels.iter();
        let overdue = overdue.filter(|(_, level)| level.passed_over >= MAX_PASSED_OVER);
        let overdue = overdue.max_by_key(|(_, level)| level.passed_over);
        let mut levels = overdue.into_iter().chain(self.levels.iter());
        levels.find_map(|(priority, level)| {
            Some(Position {
                priority: *priority,
                position: level.queue.next(&fits)?,
            })
        })
    }

    /// Returns the ticket of a queued request.
    pub fn get(&self, position: &Position) -> Option<&T> {
        self.levels
            .get(&position.priority)?
            .queue
            .get(&position.position)
    }

    /// Returns the ticket of a queued request, to be changed.
    pub fn get_mut(&mut self, position: &Position) -> Option<&mut T> {
        let level = self.levels.get_mut(&position.priority)?;
        level.queue.get_mut(&position.position)
    }

    /// Removes a request that is served, and returns its ticket.
    pub fn take(&mut self, position: &Position) -> Option<T> {
        let level = self.levels.get_mut(&position.priority)?;
        let item = level.queue.take(&position.position)?;
        level.passed_over = 0;
        let less_urgent = self.levels.range_mut(position.priority..).skip(1);
        for (_, level) in less_urgent {
            level.passed_over += 1;
        }
        self.drop_empty(position.priority);
        Some(item.ticket)
    }

    /// Removes a request that is not served, and returns its ticket.
    pub fn remove(&mut self, position: &Position) -> Option<T> {
        let level = self.levels.get_mut(&position.priority)?;
        let item = level.queue.remove(&position.position)?;
        self.drop_empty(position.priority);
        Some(item.ticket)
    }

    /// Returns an upper bound on the requests that are served up to and including a new one, if
    /// no more arrive: in all priorities that are at least as urgent, and in its own.
    pub fn serves_until(&self, priority: u8, workspace: &ident::Workspace) -> Ahead {
        let level = self.levels.get(&priority);
        let own = level.map_or(1, |level| level.queue.dequeues_until(workspace, 1));
        self.ahead(priority, own)
    }

    /// Returns the same for a queued request.
    pub fn serves_until_queued(&self, position: &Position) -> Ahead {
        let level = self.levels.get(&position.priority);
        let own = level.map_or(0, |it| it.queue.dequeues_until_queued(&position.position));
        self.ahead(position.priority, own)
    }

    fn ahead(&self, priority: u8, own: usize) -> Ahead {
        let urgent = self.levels.range(..priority);
        let urgent: usize = urgent.map(|(_, level)| level.queue.len()).sum();
        Ahead {
            all: own + urgent,
            own,
        }
    }

    fn drop_empty(&mut self, priority: u8) {
        if self
            .levels
            .get(&priority)
            .is_some_and(|it| it.queue.is_empty())
        {
            self.levels.remove(&priority);
        }
    }
}

/// Requests that are served up to and including one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// Those of its priority and of more urgent ones.
    pub all: usize,
    /// Those of its priority.
    pub own: usize,
}
