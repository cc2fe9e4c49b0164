//! Breadth-first search over all states, each identified by a hash.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use crate::properties::{Property, terminates};
use crate::world::{Event, World};

/// A part of the state that a world shares with its predecessors, and its hash, which is computed once per
/// change.
#[derive(Clone)]
pub(crate) struct Shared<T> {
    pub value: Arc<T>,
    pub fingerprint: u64,
}

impl<T: Clone + Hash> Shared<T> {
    pub(crate) fn new(value: T) -> Shared<T> {
        Shared { fingerprint: fingerprint(&value), value: Arc::new(value) }
    }

    pub(crate) fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(Arc::make_mut(&mut self.value));
        self.fingerprint = fingerprint(&*self.value);
        result
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

pub(crate) fn fingerprint(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

pub(crate) struct Trace {
    pub event: Event,
    pub before: Option<Arc<Trace>>,
}

pub(crate) struct Node {
    pub world: World,
    pub trace: Option<Arc<Trace>>,
}

impl Node {
    pub(crate) fn after(&self, event: Event, world: World) -> Node {
        Node { world, trace: Some(Arc::new(Trace { event, before: self.trace.clone() })) }
    }

    pub(crate) fn events(&self) -> Vec<String> {
        let mut events: Vec<String> =
            std::iter::successors(self.trace.as_ref(), |trace| trace.before.as_ref())
                .map(|trace| format!("{:?}", trace.event))
                .collect();
        events.reverse();
        events
    }
}

pub(crate) type Violation = (Property, Vec<String>);

pub(crate) struct SearchResult {
    pub states: usize,
    pub violation: Option<Violation>,
}

/// Searches all states breadth first, so that a violation is reported with a shortest trace.
pub(crate) fn explore(start: World) -> SearchResult {
    let mut visited = HashSet::from([fingerprint(&start)]);
    let mut level = vec![Node { world: start, trace: None }];
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut terminating = vec![HashSet::new(); threads];
    while !level.is_empty() {
        let parts = level.chunks(level.len().div_ceil(threads));
        let results: Vec<Result<Vec<(u64, Node)>, Violation>> = std::thread::scope(|scope| {
            let visited = &visited;
            let part = |(nodes, terminating)| scope.spawn(move || expand(nodes, visited, terminating));
            let parts: Vec<_> = parts.zip(&mut terminating).map(part).collect();
            parts.into_iter().map(|part| part.join().expect("a part of the search ends")).collect()
        });
        let mut next = Vec::new();
        for result in results {
            match result {
                Ok(nodes) => {
                    next.extend(nodes.into_iter().filter(|(fingerprint, _)| visited.insert(*fingerprint)));
                }
                Err(violation) => return SearchResult { states: visited.len(), violation: Some(violation) },
            }
        }
        level = next.into_iter().map(|(_, node)| node).collect();
    }
    SearchResult { states: visited.len(), violation: None }
}

pub(crate) fn expand(
    nodes: &[Node],
    visited: &HashSet<u64>,
    terminating: &mut HashSet<u64>,
) -> Result<Vec<(u64, Node)>, Violation> {
    let (mut next, mut found) = (Vec::new(), HashSet::new());
    for node in nodes {
        terminates(&node.world, terminating).map_err(|property| (property, node.events()))?;
        for event in node.world.events() {
            let mut world = node.world.clone();
            let outputs = world.step(&event);
            let mut after = vec![(event.clone(), world, outputs)];
            if let (Event::Coordinator(coordinator_event, _), Ok(outputs), true) =
                (event, outputs, node.world.faults.coordinator)
            {
                for crash in 1..outputs {
                    let mut world = node.world.clone();
                    let event = Event::Coordinator(coordinator_event, Some(crash));
                    let outputs = world.step(&event);
                    after.push((event, world, outputs));
                }
            }
            for (event, world, outputs) in after {
                // Hazard: a step that violates a property may leave the world unchanged, in a state that was
                // visited. The violation therefore has to be reported before that check.
                if let Err(property) = outputs {
                    return Err((property, node.after(event, world).events()));
                }
                let fingerprint = fingerprint(&world);
                if !visited.contains(&fingerprint) && found.insert(fingerprint) {
                    next.push((fingerprint, node.after(event, world)));
                }
            }
        }
    }
    Ok(next)
}
