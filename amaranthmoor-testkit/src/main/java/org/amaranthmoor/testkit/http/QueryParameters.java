package org.amaranthmoor.testkit.http;

import java.util.HashMap;
import java.util.Map;

/**
 * The query of a request to a stand-in.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class QueryParameters {

  private final Map<String, String> values;

  private QueryParameters(Map<String, String> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Reads a query.
   *
   * @param text the raw query, or null
   * @return the query; pairs without an equals sign are left out
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
   * Returns whether a key is present.
   *
   * @param key the key
   * @return whether it is present
   */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  /**
   * Reads a flag.
   *
   * @param key the key
   * @return whether its value is true
   */
  public boolean flag(String key) {
    return Boolean.parseBoolean(values.get(key));
  }

  /**
   * Reads a whole number.
   *
   * @param key the key
   * @return the number, 0 if the key is absent
   * @throws NumberFormatException if the value is not a whole number
   */
  public long number(String key) {
    return Long.parseLong(values.getOrDefault(key, "0"));
  }

  /**
   * Reads a number.
   *
   * @param key the key
   * @param defaultValue returned if the key is absent
   * @return the number
   * @throws NumberFormatException if the value is not a number
   */
  public double decimal(String key, double defaultValue) {
    return values.containsKey(key) ? Double.parseDouble(values.get(key)) : defaultValue;
  }
}
