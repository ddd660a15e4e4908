//! Which request runs next, and which is refused at once.
