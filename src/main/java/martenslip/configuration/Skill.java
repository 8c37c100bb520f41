package martenslip.configuration;

import martenslip.control.Span;

/**
 * The configuration of a skill. {@code priority} is its Resource-Priority value (RFC 4412), empty where it has none;
 * {@code width} is the number of circuits that a contact takes.
 */
public record Skill(
        String name, double value, int width, Span answerTarget, Span patience, Span meanHold, String priority) {}
