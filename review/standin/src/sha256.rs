//! SHA-256 (FIPS 180-4).

/// First 32 bits of the fractional parts of the cube roots of the first 64 primes.
fn constants() -> [u32; 64] {
    let mut result = [0; 64];
    let primes = (2u64..).filter(|n| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0));
    for (slot, prime) in result.iter_mut().zip(primes) {
        // Integer cube root of prime * 2^96.
        let target = u128::from(prime) << 96;
        let (mut low, mut high) = (0u128, 1u128 << 36);
        while low + 1 < high {
            let middle = (low + high) / 2;
            if middle * middle * middle <= target {
                low = middle;
            } else {
                high = middle;
            }
        }
        *slot = low as u32;
    }
    result
}

pub fn digest(bytes: &[u8]) -> [u8; 32] {
    let constants = constants();
    let mut state: [u32; 8] = [
        0x6a09_e667,
        0xbb67_ae85,
        0x3c6e_f372,
        0xa54f_f53a,
        0x510e_527f,
        0x9b05_688c,
        0x1f83_d9ab,
        0x5be0_cd19,
    ];
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in message.chunks_exact(64) {
        let mut words = [0u32; 64];
        for (word, part) in words.iter_mut().zip(block.chunks_exact(4)) {
            *word = u32::from_be_bytes([part[0], part[1], part[2], part[3]]);
        }
        for index in 16..64 {
            let (a, b) = (words[index - 15], words[index - 2]);
            let s0 = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let s1 = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            words[index] = words[index - 16]
                .wrapping_add(s0)
                .wrapping_add(words[index - 7])
                .wrapping_add(s1);
        }
        let mut v = state;
        for index in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let first = v[7]
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(constants[index])
                .wrapping_add(words[index]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let second = s0.wrapping_add(majority);
            v = [
                first.wrapping_add(second),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(first),
                v[4],
                v[5],
                v[6],
            ];
        }
        for (slot, value) in state.iter_mut().zip(v) {
            *slot = slot.wrapping_add(value);
        }
    }
    let mut result = [0; 32];
    for (part, word) in result.chunks_exact_mut(4).zip(state) {
        part.copy_from_slice(&word.to_be_bytes());
    }
    result
}

#[test]
fn known_digest() {
    let text = crate::store::hex(&digest(b"abc"));
    assert_eq!(
        text,
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}
