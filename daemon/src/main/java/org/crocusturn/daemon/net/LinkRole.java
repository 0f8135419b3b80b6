package org.crocusturn.daemon.net;

/** Is the side of a link; a proof of one side is worthless for the other. */
enum LinkRole {
    CLIENT,
    SERVER;

    LinkRole other() {
        return this == CLIENT ? SERVER : CLIENT;
    }
}
