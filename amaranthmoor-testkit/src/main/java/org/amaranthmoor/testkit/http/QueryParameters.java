package org.amaranthmoor.testkit.http;

import java.util.HashMap;
import java.util.Map;

/**
 * The query parameters of a request to a stand-in.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class QueryParameters {

  private final Map<String, String> values;

  private QueryParameters(Map<String, String> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Parses a query string. Values are not percent-decoded.
   *
   * @param text the query string, or null
   * @return the parameters; pairs without a key or an equals sign are ignored
   */
  public static QueryParameters parse(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&", -1)) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return new QueryParameters(values);
  }

  /**
   * Returns whether a parameter is present.
   *
   * @param key the key
   * @return whether it is present
   */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  /**
   * Returns the value of a boolean parameter.
   *
   * @param key the key
   * @return true if its value is {@code true}, in any case; false otherwise or if it is absent
   */
  public boolean flag(String key) {
    return Boolean.parseBoolean(values.get(key));
  }

  /**
   * Returns the value of an integer parameter.
   *
   * @param key the key
   * @return the value, or 0 if the parameter is absent
   * @throws NumberFormatException if the value is not an integer
   */
  public long number(String key) {
    return Long.parseLong(values.getOrDefault(key, "0"));
  }

  /**
   * Returns the value of a decimal parameter.
   *
   * @param key the key
   * @param defaultValue returned if the parameter is absent
   * @return the value
   * @throws NumberFormatException if the value is not a number
   */
  public double decimal(String key, double defaultValue) {
    return values.containsKey(key) ? Double.parseDouble(values.get(key)) : defaultValue;
  }
}
