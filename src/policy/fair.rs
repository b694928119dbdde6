//! A queue shared by workspaces according to their weights: start-time fair
//! queueing between workspaces, earliest due time within one. Requests of a
//! lower class are due later, so that a long wait makes up for the class.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::class::Class;
use crate::ident;

/// Virtual time that a request takes at weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// The limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that may wait in total. A workspace with nothing queued may
    /// still add one beyond that, up to twice this number.
    pub total: usize,
    /// Requests of one workspace that may wait.
    pub workspace: usize,
    /// How much later an interactive request is due than an urgent one that
    /// arrives at the same time.
    pub interactive_delay: Duration,
    /// How much later a batch request is due than an urgent one that arrives at
    /// the same time.
    pub batch_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            total: 64,
            workspace: 16,
            interactive_delay: Duration::from_secs(2),
            batch_delay: Duration::from_secs(10),
        }
    }
}

/// Why a request can't be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Full {
    /// The queue is at its total limit.
    #[error("queue at its total limit")]
    Queue,
    /// The workspace is at its own limit.
    #[error("queue at its limit for the workspace")]
    Workspace,
}

/// A queued request.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// The workspace of the request.
    pub workspace: ident::Workspace,
    /// When its wait times out.
    pub deadline: Instant,
    /// Identifies the request to its owner.
    pub ticket: T,
}

/// The position of a queued request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    workspace: ident::Workspace,
    due: Instant,
    serial: u64,
}

/// A weighted fair queue.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    limits: Limits,
    lanes: BTreeMap<ident::Workspace, Lane<T>>,
    deadlines: BTreeMap<(Instant, u64), Position>,
    virtual_time: u64,
    serial: u64,
}

#[derive(Clone, Debug)]
struct Lane<T> {
    weight: u32,
    /// The virtual finish time of the last request taken from the lane.
    finish: u64,
    waiting: BTreeMap<(Instant, u64), Item<T>>,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lanes: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            virtual_time: 0,
            serial: 0,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Checks whether a request of a workspace may be queued.
    pub fn check_room(&self, workspace: &ident::Workspace) -> Result<(), Full> {
        let own = self.lanes.get(workspace).map_or(0, |it| it.waiting.len());
        match own {
            0 if self.len() < self.limits.total * 2 => Ok(()),
            _ if own >= self.limits.workspace => Err(Full::Workspace),
            _ if self.len() >= self.limits.total => Err(Full::Queue),
            _ => Ok(()),
        }
    }

    /// Returns an upper bound on the requests that are dequeued up to and
    /// including a new one of this workspace, if no more arrive.
    pub fn dequeues_until(&self, workspace: &ident::Workspace, weight: u32) -> usize {
        let own = self.lanes.get(workspace).map_or(0, |it| it.waiting.len()) + 1;
        self.dequeues(own, workspace, weight)
    }

    /// Returns an upper bound on the requests that are dequeued up to and
    /// including a queued one, if no more arrive.
    pub fn dequeues_until_queued(&self, position: &Position) -> usize {
        let Some(lane) = self.lanes.get(&position.workspace) else {
            return 0;
        };
        let own = lane.waiting.range(..=(position.due, position.serial));
        self.dequeues(own.count(), &position.workspace, lane.weight)
    }

    fn dequeues(&self, own: usize, workspace: &ident::Workspace, weight: u32) -> usize {
        let weight = weight.max(1) as usize;
        let others = self.lanes.iter().filter(|it| it.0 != workspace);
        let ahead = others.map(|(_, lane)| {
            let fair = (own * lane.weight as usize).div_ceil(weight);
            lane.waiting.len().min(fair)
        });
        own + ahead.sum::<usize>()
    }

    /// Queues a request that is due as its class says.
    pub fn push(&mut self, now: Instant, weight: u32, class: Class, item: Item<T>) -> Position {
        self.push_due(now + self.delay(class), weight, item)
    }

    /// Queues a request.
    pub fn push_due(&mut self, due: Instant, weight: u32, item: Item<T>) -> Position {
        self.serial += 1;
        let position = Position {
            workspace: item.workspace.clone(),
            due,
            serial: self.serial,
        };
        let start = self.virtual_time;
        let lane = self.lanes.entry(item.workspace.clone()).or_insert(Lane {
            weight: 1,
            finish: start,
            waiting: BTreeMap::new(),
        });
        lane.weight = weight.max(1);
        self.deadlines
            .insert((item.deadline, position.serial), position.clone());
        lane.waiting.insert((due, position.serial), item);
        position
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<Item<T>> {
        let next = self.next(|_| true)?;
        self.take(&next)
    }

    /// Returns the position of the next request that `fits`.
    pub fn next(&self, fits: impl Fn(&T) -> bool) -> Option<Position> {
        let fitting = self.lanes.iter().filter_map(|(workspace, lane)| {
            let mut waiting = lane.waiting.iter();
            let (key, _) = waiting.find(|(_, item)| fits(&item.ticket))?;
            Some((self.start(lane), workspace, *key))
        });
        let (_, workspace, (due, serial)) = fitting.min_by_key(|it| it.0)?;
        Some(Position {
            workspace: workspace.clone(),
            due,
            serial,
        })
    }

    /// Returns the ticket of a queued request.
    pub fn get(&self, position: &Position) -> Option<&T> {
        let lane = self.lanes.get(&position.workspace)?;
        let item = lane.waiting.get(&(position.due, position.serial))?;
        Some(&item.ticket)
    }

    /// Returns the ticket of a queued request, to be changed.
    pub fn get_mut(&mut self, position: &Position) -> Option<&mut T> {
        let lane = self.lanes.get_mut(&position.workspace)?;
        let item = lane.waiting.get_mut(&(position.due, position.serial))?;
        Some(&mut item.ticket)
    }

    /// Removes a request that is served, and charges its workspace. Requests of workspaces whose
    /// turn was earlier keep it.
    pub fn take(&mut self, position: &Position) -> Option<Item<T>> {
        self.get(position)?;
        let busy = self.lanes.values().filter(|it| !it.waiting.is_empty());
        let earliest = busy.map(|lane| self.start(lane)).min()?;
        let start = self.start(self.lanes.get(&position.workspace)?);
        let lane = self.lanes.get_mut(&position.workspace)?;
        let item = lane.waiting.remove(&(position.due, position.serial))?;
        lane.finish = start + REQUEST_COST / u64::from(lane.weight);
        self.virtual_time = earliest;
        self.deadlines.remove(&(item.deadline, position.serial));
        self.drop_idle_lanes();
        Some(item)
    }

    /// Returns the number of queued requests of each workspace that has any.
    pub fn lengths(&self) -> impl Iterator<Item = (&ident::Workspace, usize)> {
        let lanes = self.lanes.iter();
        let lanes = lanes.map(|(workspace, lane)| (workspace, lane.waiting.len()));
        lanes.filter(|(_, length)| *length > 0)
    }

    /// Removes and returns one request whose deadline has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Item<T>> {
        let (key, _) = self.deadlines.first_key_value()?;
        match key.0 <= now {
            true => {
                let (_, position) = self.deadlines.pop_first()?;
                self.remove(&position)
            }
            false => None,
        }
    }

    /// Removes a request; `None` if it is no longer queued.
    pub fn remove(&mut self, position: &Position) -> Option<Item<T>> {
        let lane = self.lanes.get_mut(&position.workspace)?;
        let item = lane.waiting.remove(&(position.due, position.serial))?;
        self.deadlines.remove(&(item.deadline, position.serial));
        self.drop_idle_lanes();
        Some(item)
    }

    /// Removes all requests and returns their tickets.
    pub fn drain(&mut self) -> impl Iterator<Item = T> + use<T> {
        self.deadlines.clear();
        std::mem::take(&mut self.lanes)
            .into_values()
            .flat_map(|lane| lane.waiting.into_values())
            .map(|item| item.ticket)
    }

    /// Returns the virtual time at which the next request of a lane starts.
    fn start(&self, lane: &Lane<T>) -> u64 {
        lane.finish.max(self.virtual_time)
    }

    fn delay(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Interactive => self.limits.interactive_delay,
            Class::Batch => self.limits.batch_delay,
        }
    }

    /// Drops empty lanes that have not used more than their share, and all
    /// lanes once nothing is queued.
    fn drop_idle_lanes(&mut self) {
        let now = self.virtual_time;
        let idle = self.deadlines.is_empty();
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || (lane.finish > now && !idle));
    }
}
