package org.amaranthmoor.daemon.node;

import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TeamName;
import org.amaranthmoor.protocol.node.Cancel;
import org.amaranthmoor.protocol.node.Credit;
import org.amaranthmoor.protocol.node.Data;
import org.amaranthmoor.protocol.node.Failed;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Header;
import org.amaranthmoor.protocol.node.Load;
import org.amaranthmoor.protocol.node.Notice;
import org.amaranthmoor.protocol.node.OpenCall;
import org.amaranthmoor.protocol.node.Probe;
import org.amaranthmoor.protocol.node.Refused;
import org.amaranthmoor.protocol.node.ResponseHead;
import org.amaranthmoor.target.RunNotice;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;

/**
 * Converts requests and responses to frames and back.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Frames {

  /** Maximum length of a frame, in bytes. */
  static final int MAX_FRAME_BYTES = 512 * 1024;

  /** Maximum number of body bytes in one frame. */
  static final int MAX_DATA_BYTES = 32 * 1024;

  private static final long NANOS_PER_MICRO = 1_000;

  private Frames() {}

  static Frame openCall(
      long stream,
      CallRequest request,
      Incarnation target,
      Optional<RunNotice> rememberedNotice,
      Optional<SuspectRequest> suspect,
      long offset,
      long nowNanos) {
    OpenCall.Builder open =
        OpenCall.newBuilder()
            .setStream(stream)
            .setService(request.service().value())
            .setMethod(request.method())
            .setPath(request.path())
            .setDeadlineMicros(Math.max(0, request.deadlineNanos() - nowNanos) / NANOS_PER_MICRO)
            .setAttempt(request.attempt())
            .setIdempotent(request.idempotent())
            .setPriority(priorityNumber(request.priority()))
            .setTargetIncarnation(target.value())
            .setBody(UnsafeByteOperations.unsafeWrap(request.bodyPrefix()))
            .setBodyComplete(request.bodyComplete())
            .setBodyLength(request.bodyLength())
            .setConfigOffset(offset)
            .setCallId(request.id().value())
            .setRule(request.rule().value())
            .setObjectiveMicros((request.objectiveNanos() - nowNanos) / NANOS_PER_MICRO)
            .setPatiencePercent(request.maxWaitPercent())
            .setNeeded(request.nested());
    rememberedNotice.ifPresent(notice -> open.setRemembered(toMessage(notice)));
    suspect.ifPresent(known -> open.setSuspicion(SuspicionExchange.toMessage(known)));
    request.key().ifPresent(key -> open.setIdempotencyKey(key.toString()));
    request.team().ifPresent(team -> open.setTeam(team.value()));
    request.headers().forEach(header -> open.addHeaders(toMessage(header)));
    return Frame.newBuilder().setOpenCall(open).build();
  }

  static CallRequest toRequest(OpenCall open, long nowNanos) {
    return new CallRequest(
        new ServiceName(open.getService()),
        open.getMethod(),
        open.getPath(),
        toFields(open.getHeadersList()),
        nowNanos + open.getDeadlineMicros() * NANOS_PER_MICRO,
        open.getAttempt(),
        open.getIdempotent(),
        priorityOf(open.getPriority()),
        parseKey(open.getIdempotencyKey()),
        open.getBody().toByteArray(),
        open.getBodyComplete(),
        open.getBodyLength(),
        new CallId(open.getCallId()),
        new RuleName(open.getRule()),
        nowNanos + open.getObjectiveMicros() * NANOS_PER_MICRO,
        open.getNeeded() ? CallRequest.ParentAttempt.FIRST : CallRequest.ParentAttempt.NONE,
        1,
        open.getPatiencePercent(),
        parseTeam(open.getTeam()));
  }

  private static Optional<IdempotencyKey> parseKey(String text) {
    return text.isEmpty() ? Optional.empty() : IdempotencyKey.parse(text);
  }

  private static Optional<TeamName> parseTeam(String text) {
    return Optional.of(text).filter(Names::isName).map(TeamName::new);
  }

  private static int priorityNumber(Priority priority) {
    return switch (priority) {
      case CRITICAL -> 0;
      case NORMAL -> 1;
      case BROWSE -> 2;
    };
  }

  private static Priority priorityOf(int number) {
    return switch (number) {
      case 0 -> Priority.CRITICAL;
      case 2 -> Priority.BROWSE;
      default -> Priority.NORMAL;
    };
  }

  static Frame data(long stream, byte[] bytes) {
    Data data =
        Data.newBuilder()
            .setStream(stream)
            .setBytes(UnsafeByteOperations.unsafeWrap(bytes))
            .build();
    return Frame.newBuilder().setData(data).build();
  }

  static Frame lastData(long stream, byte[] bytes, long totalBytes) {
    Data data =
        Data.newBuilder()
            .setStream(stream)
            .setBytes(UnsafeByteOperations.unsafeWrap(bytes))
            .setLast(true)
            .setTotalBytes(totalBytes)
            .build();
    return Frame.newBuilder().setData(data).build();
  }

  /**
   * {@return the number of bytes of the body that a last message states, or empty if it does not}
   */
  static OptionalLong totalBytes(Data data) {
    return data.hasTotalBytes() ? OptionalLong.of(data.getTotalBytes()) : OptionalLong.empty();
  }

  static Frame credit(long stream, int bytes) {
    return Frame.newBuilder()
        .setCredit(Credit.newBuilder().setStream(stream).setBytes(bytes))
        .build();
  }

  static Frame probe(long query) {
    return Frame.newBuilder().setProbe(Probe.newBuilder().setQuery(query)).build();
  }

  static Frame cancel(long stream) {
    return Frame.newBuilder().setCancel(Cancel.newBuilder().setStream(stream)).build();
  }

  static Frame refused(long stream, Outcome.NotRun<?> notRun, TargetSide.Status status) {
    Refused refused =
        Refused.newBuilder()
            .setStream(stream)
            .setCode(codeOfEveryBuild(notRun.code()).number())
            .setExactCode(notRun.code().number())
            .setRetryAfterMillis((int) notRun.retryAfterMillis())
            .setDetail(notRun.detail())
            .setLoad(toMessage(status))
            .build();
    return Frame.newBuilder().setRefused(refused).build();
  }

  // Earlier builds close the link on a code that they do not define.
  private static ResultCode codeOfEveryBuild(ResultCode code) {
    return code == ResultCode.REQUEST_QUARANTINED ? ResultCode.NO_TARGET : code;
  }

  static ResultCode toCode(Refused refused) {
    return ResultCode.find(refused.getExactCode())
        .or(() -> ResultCode.find(refused.getCode()))
        .orElse(ResultCode.NO_TARGET);
  }

  static ResultCode toCode(Failed failed) {
    return ResultCode.find(failed.getCode()).orElse(ResultCode.TARGET_BROKE_OFF);
  }

  static Frame failed(long stream, ResultCode code, String detail, TargetSide.Status status) {
    Failed failed =
        Failed.newBuilder()
            .setStream(stream)
            .setCode(code.number())
            .setDetail(detail)
            .setLoad(toMessage(status))
            .build();
    return Frame.newBuilder().setFailed(failed).build();
  }

  static Frame responseHead(long stream, CallResponse response, TargetSide.Status status) {
    ResponseHead.Builder head =
        ResponseHead.newBuilder()
            .setStream(stream)
            .setStatus(response.status())
            .setLoad(toMessage(status));
    response.headers().forEach(header -> head.addHeaders(toMessage(header)));
    switch (response.body()) {
      case CallResponse.Body.Buffered buffered ->
          head.setComplete(true)
              .setBody(UnsafeByteOperations.unsafeWrap(buffered.bytes()))
              .setBodyLength(buffered.bytes().length);
      case CallResponse.Body.Streamed streamed -> head.setBodyLength(streamed.length());
    }
    return Frame.newBuilder().setResponseHead(head).build();
  }

  static CallResponse toResponse(ResponseHead head, CallResponse.Body body) {
    return new CallResponse(
        head.getStatus(),
        toFields(head.getHeadersList()),
        body,
        Optional.of(toLoad(head.getLoad())));
  }

  static Load toMessage(TargetSide.Status status) {
    Load.Builder message = toMessage(status.load()).toBuilder();
    status.notice().ifPresent(notice -> message.setNotice(toMessage(notice)));
    return message.build();
  }

  static Load toMessage(LoadReport load) {
    return Load.newBuilder()
        .setInFlight(load.inFlight())
        .setQueued(load.queued())
        .setSlots(load.slots())
        .setServiceTimeMicros(load.serviceTimeNanos() / NANOS_PER_MICRO)
        .setDraining(load.draining())
        .setStartWaitMicros(load.startWaitNanos() / NANOS_PER_MICRO)
        .build();
  }

  private static Notice toMessage(RunNotice notice) {
    Notice.Builder message =
        Notice.newBuilder()
            .setRunId(notice.run().id())
            .setRunStartedMillis(notice.run().startedMillis())
            .setLeaving(notice.notice().leaving());
    if (notice.notice().limit() instanceof TargetNotice.Limit.Rate rate) {
      message.setRequestsPerSecond(rate.requestsPerSecond());
    }
    return message.build();
  }

  /** {@return the target's notice that a load message carries, or empty if it carries none} */
  static Optional<RunNotice> notice(Load load) {
    return load.hasNotice() ? Optional.of(toNotice(load.getNotice())) : Optional.empty();
  }

  /** {@return the target's last notice that the sender of a request remembers, or empty} */
  static Optional<RunNotice> rememberedNotice(OpenCall open) {
    return open.hasRemembered() ? Optional.of(toNotice(open.getRemembered())) : Optional.empty();
  }

  private static RunNotice toNotice(Notice message) {
    TargetNotice.Limit limit =
        message.hasRequestsPerSecond()
            ? new TargetNotice.Limit.Rate(message.getRequestsPerSecond())
            : new TargetNotice.Limit.Unstated();
    return new RunNotice(
        new TargetRun(message.getRunId(), message.getRunStartedMillis()),
        new TargetNotice(limit, message.getLeaving()));
  }

  static LoadReport toLoad(Load load) {
    return new LoadReport(
        load.getInFlight(),
        load.getQueued(),
        load.getSlots(),
        load.getServiceTimeMicros() * NANOS_PER_MICRO,
        load.getDraining(),
        load.getStartWaitMicros() * NANOS_PER_MICRO);
  }

  private static Header toMessage(HeaderField field) {
    return Header.newBuilder().setName(field.name()).setValue(field.value()).build();
  }

  private static List<HeaderField> toFields(List<Header> headers) {
    List<HeaderField> fields = new ArrayList<>(headers.size());
    headers.forEach(header -> fields.add(new HeaderField(header.getName(), header.getValue())));
    return List.copyOf(fields);
  }
}
