//! Reduces a failing script: removes troubles one by one while it still fails.

use super::script::Script;

/// Returns the shortest script found for which `fails` holds; `None` if the failure of `script`
/// can't be reproduced.
///
/// Timing on real sockets differs from run to run: a script counts as failing if one of `attempts`
/// plays fails.
///
/// # Errors
/// The error of `fails` if a script could not be played.
pub fn reduce<E>(
    script: &Script,
    attempts: usize,
    fails: &mut dyn FnMut(&Script) -> Result<bool, E>,
) -> Result<Option<Script>, E> {
    if !fails_in_any(script, attempts, fails)? {
        return Ok(None);
    }
    let mut shortest = script.clone();
    let mut nth = 0;
    while nth < shortest.troubles.len() && shortest.troubles.len() > 1 {
        let shorter = shortest.without(nth);
        if fails_in_any(&shorter, attempts, fails)? {
            shortest = shorter;
        } else {
            nth += 1;
        }
    }
    Ok(Some(shortest))
}

fn fails_in_any<E>(
    script: &Script,
    attempts: usize,
    fails: &mut dyn FnMut(&Script) -> Result<bool, E>,
) -> Result<bool, E> {
    for _ in 0..attempts {
        if fails(script)? {
            return Ok(true);
        }
    }
    Ok(false)
}
