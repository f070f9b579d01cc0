package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.target.Admission.Decision;

/** A request that records the decisions it is notified of. */
abstract class RecordingWaiter implements Admission.Waiter {

  final List<Decision> decisions = new ArrayList<>();

  @Override
  public void admitted() {
    decisions.add(new Decision.Admitted());
  }

  @Override
  public void refused(Decision.Refused refusal) {
    decisions.add(refusal);
  }
}
