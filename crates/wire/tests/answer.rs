//! An answer counts as complete only with all frames of its own attempt, in order.

use bytes::Bytes;
use dogwoodhill_wire::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const OWN: u128 = 7;

fn frame(attempt: u128, seq: u32, body: FrameBody) -> Frame {
    Frame {
        attempt,
        seq,
        load: None,
        body,
    }
}

fn head() -> FrameBody {
    FrameBody::Head {
        status: 200,
        headers: Vec::new(),
    }
}

/// Returns the frames of an answer with these chunks.
fn frames(attempt: u128, chunks: &[Vec<u8>]) -> Vec<Frame> {
    let mut bodies = vec![head()];
    bodies.extend(
        chunks
            .iter()
            .map(|chunk| FrameBody::Chunk(Bytes::from(chunk.clone()))),
    );
    let bytes = chunks.iter().map(|chunk| chunk.len() as u64).sum();
    bodies.push(FrameBody::End { bytes, tokens: 1 });
    let numbered = (0..).zip(bodies);
    numbered
        .map(|(seq, body)| frame(attempt, seq, body))
        .collect()
}

/// What a caller would have received.
struct Received {
    bytes: Vec<u8>,
    complete: bool,
}

fn receive(sequence: Vec<Frame>) -> Received {
    let mut answer = AnswerValidator::new(OWN);
    let mut received = Received {
        bytes: Vec::new(),
        complete: false,
    };
    for frame in sequence {
        match answer.accept(frame) {
            Ok(AnswerPart::Chunk(bytes)) => received.bytes.extend_from_slice(&bytes),
            Ok(AnswerPart::End { .. }) => received.complete = true,
            Ok(_) => {}
            Err(_) => return received,
        }
    }
    received
}

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, random)
}

#[test]
fn accept_interleaved_never_foreign_or_truncated() {
    let chunk = proptest::collection::vec(any::<u8>(), 1..6);
    let chunks = proptest::collection::vec(chunk, 0..6);
    let mix =
        proptest::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 0..40);
    let strategy = (chunks.clone(), chunks, mix);
    let result = runner(1).run(&strategy, |(own, other, mix)| {
        let own_frames = frames(OWN, &own);
        let other_frames = frames(OWN + 1, &other);
        let sequence = mix
            .iter()
            .map(|(foreign, at)| match foreign {
                true => at.get(&other_frames).clone(),
                false => at.get(&own_frames).clone(),
            })
            .collect();
        let received = receive(sequence);
        let whole: Vec<u8> = own.concat();
        prop_assert!(
            whole.starts_with(&received.bytes),
            "only own bytes, in order"
        );
        if received.complete {
            prop_assert_eq!(received.bytes, whole, "complete means whole");
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn feed_chunks_of_any_size_decodes_frames() {
    let chunk = proptest::collection::vec(any::<u8>(), 0..200);
    let chunks = proptest::collection::vec(chunk, 0..5);
    let strategy = (chunks, 1usize..64);
    let result = runner(2).run(&strategy, |(chunks, size)| {
        let sent = frames(OWN, &chunks);
        let bytes: Vec<u8> = sent
            .iter()
            .flat_map(|frame| encode(frame).to_vec())
            .collect();
        let mut reader = FrameReader::default();
        let mut got = Vec::new();
        for part in bytes.chunks(size) {
            reader.feed(part).unwrap();
            got.extend(std::iter::from_fn(|| reader.pop()));
        }
        prop_assert_eq!(got, sent);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn accept_complete_then_late_chunk_dropped() {
    let mut sequence = frames(OWN, &[b"abc".to_vec()]);
    sequence.push(frame(OWN, 3, FrameBody::Chunk(Bytes::from_static(b"late"))));
    let received = receive(sequence);
    assert!(received.complete);
    assert_eq!(received.bytes, b"abc");
}

#[test]
fn accept_end_with_other_count_truncated() {
    let mut answer = AnswerValidator::new(OWN);
    answer.accept(frame(OWN, 0, head())).unwrap();
    let end = FrameBody::End {
        bytes: 5,
        tokens: 0,
    };
    assert_eq!(
        answer.accept(frame(OWN, 1, end)),
        Err(AnswerError::Truncated)
    );
    assert!(answer.ended());
}

#[test]
fn feed_oversized_frame_refused() {
    let mut reader = FrameReader::default();
    assert!(reader.feed(&u32::MAX.to_be_bytes()).is_err());
}

#[test]
fn feed_garbage_refused() {
    let mut reader = FrameReader::default();
    assert!(reader.feed(&[0, 0, 0, 2, 0xc1, 0xc1]).is_err());
}
