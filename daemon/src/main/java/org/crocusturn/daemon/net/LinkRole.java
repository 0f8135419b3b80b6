package org.crocusturn.daemon.net;

/** Role of an end of a link; part of each proof, so that a proof cannot be reflected. */
enum LinkRole {
    CLIENT,
    SERVER;

    LinkRole other() {
        return this == CLIENT ? SERVER : CLIENT;
    }
}
