package org.crocusturn.daemon.net;

/** Client connection of an {@link HttpServer}. Thread-safe. */
public interface HttpConnection {
    /** Returns an id that is unique among the connections of the process. */
    String id();

    /** Runs an action when the connection closes, or at once if it is closed already. */
    void onClosed(Runnable action);

    /** Closes the connection; pending requests get no response. */
    void close();
}
