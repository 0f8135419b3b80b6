package org.crocusturn.daemon.net;

/** Is the other end of one connection of an {@link HttpServer}; safe for any thread. */
public interface HttpConnection {
    /** Returns a name of the connection that no other connection of the process has. */
    String id();

    /** Calls an action when the connection is closed, or at once if it is. */
    void onClosed(Runnable action);

    /** Closes the connection; open requests get no answer. */
    void close();
}
