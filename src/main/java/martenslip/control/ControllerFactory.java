package martenslip.control;

import java.util.Map;

/** Makes the module; programs know it by its interface only. */
public interface ControllerFactory {
    Controller create(Map<String, String> settings, long seed, Moment now, Orders orders);
}
