package martenslip.sip.transport;

/** A revocable message together with the connection on which it was queued or sent. */
public record QueuedMessage(long connectionId, RevocableMessage message) {}
