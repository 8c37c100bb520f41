package martenslip.sip.transport;

/** A message that waits on a connection, or went by it, and what it takes to have it back. */
public record QueuedMessage(long connectionId, RevocableMessage message) {}
