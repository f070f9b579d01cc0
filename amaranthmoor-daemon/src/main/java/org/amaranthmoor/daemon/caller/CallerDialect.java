package org.amaranthmoor.daemon.caller;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.KeyDigest;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.TeamName;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Defines how callers send the metadata of a call in HTTP, and how they are told its outcome.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface CallerDialect {

  /**
   * Metadata that a caller sends with a request.
   *
   * @param id the caller's id for the request
   * @param parent the running request that makes this call, if the id names one
   * @param timeout time that the caller waits for the answer, if stated
   * @param key idempotency key, which all attempts of the request share, if it has one
   * @param attempt attempt number, counting the caller's own retries, 1 for the first
   */
  record CallMetadata(
      CallId id,
      Optional<CallId> parent,
      Optional<Duration> timeout,
      Optional<IdempotencyKey> key,
      int attempt) {}

  /** The metadata, or the refusal of an invalid request. */
  sealed interface ParseResult {
    /**
     * The metadata is valid.
     *
     * @param metadata the metadata
     */
    record Valid(CallMetadata metadata) implements ParseResult {}

    /**
     * The request is invalid.
     *
     * @param refusal refusal that states what is invalid
     */
    record Invalid(Outcome.NotRun<?> refusal) implements ParseResult {}
  }

  /**
   * Parses the metadata of a call.
   *
   * @param http the request
   * @param route its route
   * @return the metadata, or the refusal of an invalid request
   */
  ParseResult parse(ClassicHttpRequest http, Route route);

  /**
   * Reads the key of a team. The key itself is not kept.
   *
   * @param http the request
   * @return the digest of the key that the request states, or empty if it states none
   */
  Optional<KeyDigest> teamKey(ClassicHttpRequest http);

  /**
   * Returns whether a request header states a key or a team. Where teams are configured, such
   * headers of callers are not forwarded.
   *
   * @param lowerCaseName the header's name in lower case
   * @return whether it states a key or a team
   */
  boolean isTeamHeader(String lowerCaseName);

  /**
   * Returns the header that states the team of a request to the target.
   *
   * @param team the team that holds the caller's key
   * @return the header
   */
  HeaderField teamHeader(TeamName team);

  /**
   * Returns whether only the instance of this node sends from an address. A call from there whose
   * id names a parent is accepted without a key, even if the parent is not known.
   *
   * @param remote the address from which a call arrived
   * @return whether it is an address of this instance, and of no other
   */
  boolean isOwnInstance(InetAddress remote);

  /**
   * Returns whether the target beside this node may send from an address. A call from there whose
   * id names a running parent is accepted without a key.
   *
   * @param remote the address from which a call arrived
   * @return whether a process on this instance may send from it
   */
  boolean mayBeOwnTarget(InetAddress remote);

  /**
   * Returns whether a request header is forwarded to the target.
   *
   * @param lowerCaseName the header's name in lower case
   * @return whether it is forwarded; hop-by-hop headers never are, whatever this method returns
   */
  boolean forwardsRequestHeader(String lowerCaseName);

  /** {@return headers that this node adds to each request that it forwards} */
  List<HeaderField> addedRequestHeaders();

  /**
   * Adds the headers that this dialect defines to a target's answer.
   *
   * @param response the answer, as it is sent to the caller
   * @param server the server that answered, if known
   */
  void addResponseHeaders(ClassicHttpResponse response, Optional<Server> server);

  /**
   * {@return the longest delay that refused callers accept before they retry, as a share of the
   * time left until their deadline; empty if they accept any delay}
   */
  OptionalDouble maxRetryDelayShare();

  /**
   * Creates the response to a request that was not run.
   *
   * @param notRun why it was not run
   * @return the response
   */
  ClassicHttpResponse notRunResponse(Outcome.NotRun<?> notRun);

  /**
   * Creates the response to a request of which it is not known whether it was run.
   *
   * @param unknown why it is not known
   * @return the response
   */
  ClassicHttpResponse unknownResponse(Outcome.Unknown<CallResponse> unknown);
}
