package martenslip.control;

import java.util.Map;

/** Creates the module, so that programs depend only on its interface. */
public interface ControllerFactory {
    /** Creates a module; the same settings, seed and events give the same orders. */
    Controller create(Map<String, String> settings, long seed, Moment now, Orders orders);
}
