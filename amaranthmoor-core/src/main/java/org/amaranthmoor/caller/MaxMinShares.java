package org.amaranthmoor.caller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Divides a capacity between demands by weighted max-min fairness.
 *
 * <p>Each demand gets the smaller of itself and its weight times a common level. The level is the
 * one at which the whole capacity is used, so that what small demands leave goes to the larger
 * ones. Stateless and safe for use by several threads.
 */
final class MaxMinShares {

  private MaxMinShares() {}

  /**
   * A demand for part of the capacity.
   *
   * @param amount what is asked for, at least 0
   * @param weight the weight, above 0
   */
  record Demand(double amount, double weight) {

    /** {@return what the demand gets at the level} */
    double granted(double level) {
      return Math.min(amount, weight * level);
    }

    private double saturationLevel() {
      return amount / weight;
    }
  }

  /**
   * Returns the level at which the demands use the capacity.
   *
   * @param demands the demands
   * @param capacity what can be divided, at least 0
   * @return the level; infinite if the capacity covers all demands
   */
  static double level(Collection<Demand> demands, double capacity) {
    List<Demand> bySaturation = new ArrayList<>(demands);
    bySaturation.sort(Comparator.comparingDouble(Demand::saturationLevel));
    double capacityLeft = capacity;
    double weightLeft = demands.stream().mapToDouble(Demand::weight).sum();
    for (Demand demand : bySaturation) {
      double level = capacityLeft / weightLeft;
      if (level < demand.saturationLevel()) {
        return level;
      }
      capacityLeft -= demand.amount();
      weightLeft -= demand.weight();
    }
    return Double.POSITIVE_INFINITY;
  }
}
