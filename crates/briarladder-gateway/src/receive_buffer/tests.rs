use super::*;

/// Guards against bytes that are lost or out of order when a buffer grows from
/// the heap into a mapping and on.
#[test]
fn extend_from_slice_growing() {
    let mut buffer = ReceiveBuffer::default();
    let mut expected = Vec::new();
    for number in 0..2000_u32 {
        let bytes = number.to_le_bytes().repeat(25);
        if buffer.len() + bytes.len() > buffer.capacity() {
            buffer.reserve(buffer.capacity() * 2);
        }
        buffer.extend_from_slice(&bytes);
        expected.extend_from_slice(&bytes);
    }
    assert!(matches!(buffer, ReceiveBuffer::Mapped { .. }));
    assert_eq!(buffer.as_ref(), expected);
}

/// Guards against large buffers that the allocator keeps after their release.
#[test]
fn reserve_large_mapped() {
    let mut buffer = ReceiveBuffer::default();
    buffer.extend_from_slice(b"small");
    assert!(matches!(buffer, ReceiveBuffer::Heap(_)));
    buffer.reserve(MIN_MAPPED_BYTES);
    assert!(matches!(buffer, ReceiveBuffer::Mapped { len: 5, .. }));
    assert_eq!(buffer.as_ref(), b"small");
}

/// Guards against buffers of bodies that grow which the allocator keeps: of
/// many bodies, those between 16 and 64 KiB take the most memory.
#[test]
fn reserve_growing_mapped() {
    for capacity in [16 * 1024, 32 * 1024] {
        let mut buffer = ReceiveBuffer::default();
        buffer.reserve(capacity);
        assert!(matches!(buffer, ReceiveBuffer::Mapped { .. }), "{capacity}");
        assert_eq!(buffer.capacity(), capacity);
    }
}
