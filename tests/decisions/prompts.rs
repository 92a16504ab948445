//! Snapshots of prompt caches, saved for starting routers.

use scaleford::{
    ids::TargetId,
    prompt_cache::{PartId, PartLocation},
    prompt_snapshot::PromptSnapshot,
    units::Tokens,
};

/// Returns locations of parts whose ids are distributed like hashes, each at four of 200 targets.
fn part_locations(parts: u64) -> Vec<PartLocation> {
    let target = |n: u64| -> TargetId { format!("i-{n:010x}").parse().unwrap() };
    let id = |n: u64| PartId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let copies = (0..4 * parts).map(|n| {
        let part = n / 4;
        (
            id(part + 1),
            Tokens(10_512),
            target((part * 7 + n % 4) % 200),
        )
    });
    let mut copies: Vec<PartLocation> = copies.collect();
    copies.sort_by(|a, b| a.2.cmp(&b.2));
    copies
}

/// 295 routers that start together read half a megabyte each before they have a configuration,
/// which takes 1.7 s (large sapporo trouble-1).
#[test]
fn what_is_kept_of_prompts_takes_few_bytes_a_copy() {
    let part_locations = part_locations(2_000);
    let whole = postcard::to_stdvec(&part_locations).unwrap().len();
    let kept = postcard::to_stdvec(&PromptSnapshot::new(&part_locations))
        .unwrap()
        .len();
    assert!(kept * 4 < whole, "{kept} of {whole} bytes");
}

#[test]
fn what_is_kept_of_prompts_comes_back_in_each_targets_order() {
    let part_locations = part_locations(50);
    let bytes = postcard::to_stdvec(&PromptSnapshot::new(&part_locations)).unwrap();
    let restored: PromptSnapshot = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(
        restored.part_locations().collect::<Vec<_>>(),
        part_locations
    );
    assert_eq!(restored.len(), 50);
}

/// A value that an earlier version saved under the same key, or a truncated one, must not cause a
/// failure.
#[test]
fn locations_of_unknown_parts_are_ignored() {
    let (parts, target) = (0_u8, "t1".parse::<TargetId>().unwrap());
    let bytes = postcard::to_stdvec(&(parts, vec![(target, vec![3_u32])])).unwrap();
    let restored: PromptSnapshot = postcard::from_bytes(&bytes).unwrap();
    assert!(restored.is_empty());
    assert_eq!(restored.part_locations().count(), 0);
}
