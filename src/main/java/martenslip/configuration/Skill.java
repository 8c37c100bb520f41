package martenslip.configuration;

import martenslip.control.Span;

/** A skill as configured; {@code priority} is its Resource-Priority value (RFC 4412), empty where it has none. */
public record Skill(
        String name, double value, int width, Span answerTarget, Span patience, Span meanHold, String priority) {}
