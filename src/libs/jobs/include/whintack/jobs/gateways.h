#ifndef WHINTACK_JOBS_GATEWAYS_H
#define WHINTACK_JOBS_GATEWAYS_H

#include "whintack/base/result.h"
#include "whintack/jobs/configuration.h"
#include "whintack/jobs/executor.h"

#include <functional>
#include <optional>

namespace whintack::jobs {

/// Why a call to the platform or to an executor failed.
enum class GatewayErrorCode {
  /// No answer was received; the call may have been carried out.
  NoAnswer,
  /// Refused without doing anything; it may be tried again later.
  Busy,
  /// Another incarnation of the executor answers at the address.
  OtherIncarnation,
  /// Refused: the executor has seen a higher fencing token.
  Fenced,
  /// Refused permanently.
  Refused,
  /// The answer cannot be decoded.
  BadAnswer,
};

inline constexpr EnumNames<GatewayErrorCode, 6> GatewayErrorNames = {{
    {GatewayErrorCode::NoAnswer, "no-answer"},
    {GatewayErrorCode::Busy, "busy"},
    {GatewayErrorCode::OtherIncarnation, "other-incarnation"},
    {GatewayErrorCode::Fenced, "fenced"},
    {GatewayErrorCode::Refused, "refused"},
    {GatewayErrorCode::BadAnswer, "bad-answer"},
}};

/// A failed call.
struct GatewayError {
  GatewayErrorCode Code = GatewayErrorCode::NoAnswer;
  std::string Message;
};

template <typename T> using GatewayResult = Result<T, GatewayError>;
template <typename T>
using GatewayCallback = std::function<void(GatewayResult<T>)>;

/// Address of an executor, and the incarnation that is meant.
struct ExecutorAddress {
  ExecutorId Id;
  Address Server;
};

/// Requests an executor's report, and may renew its lease.
struct ReportRequest {
  uint64_t Token = 0;
  /// Number of the last end that the executor may discard.
  uint64_t DiscardThrough = 0;
  /// Until when all runs on the executor may continue; not set if the lease is
  /// not to be renewed.
  std::optional<ExecutorTime> LeaseUntil;
  /// How long the executor may wait for a run to end before it answers.
  Duration Wait = Duration::zero();
};

/// An executor's answer to an order to start.
struct StartAnswer {
  StartOutcome Outcome = StartOutcome::Unknown;
  std::optional<ExecutorTime> At;
  /// The incarnation that answered; 0 if the answer does not tell.
  ExecutorIncarnation Incarnation = 0;
};

/// Calls to executors. Each callback is called once, on any thread.
struct ExecutorGateway {
  std::function<void(const ExecutorAddress &To, const ReportRequest &Request,
                     TimePoint Deadline, GatewayCallback<ExecutorReport> Done)>
      Report;
  std::function<void(const ExecutorAddress &To, const StartOrder &Order,
                     uint64_t Token, ExecutorTime LeaseUntil,
                     TimePoint Deadline, std::function<void(StartAnswer)> Done)>
      Start;
  std::function<void(const ExecutorAddress &To, const StopOrder &Order,
                     uint64_t Token, TimePoint Deadline,
                     GatewayCallback<ExecutorTime> Done)>
      Stop;
  std::function<void(const ExecutorAddress &To, const PaceOrder &Order,
                     uint64_t Token, TimePoint Deadline,
                     GatewayCallback<ExecutorTime> Done)>
      Pace;
};

/// State of a machine as reported by the platform.
enum class MachineState { Up, Moving, Maintenance, Down };

inline constexpr EnumNames<MachineState, 4> MachineStateNames = {{
    {MachineState::Up, "up"},
    {MachineState::Moving, "moving"},
    {MachineState::Maintenance, "maintenance"},
    {MachineState::Down, "down"},
}};

/// A machine as listed by the platform.
struct MachineInfo {
  MachineName Name;
  ServiceName Pool;
  MachineState State = MachineState::Down;
  DataCentreName DataCentre;
  std::vector<std::string> Labels;
  ComputeResources Capacity;
  /// The executor on the machine; empty if none runs.
  ExecutorId Executor;
};

/// Issuer of an order to a machine, with its fencing token.
struct MachineOrderIssuer {
  std::string Holder;
  uint64_t Token = 0;
};

/// Calls that change machines. Each callback is called once, on any thread.
struct MachineGateway {
  std::function<void(TimePoint Deadline,
                     GatewayCallback<std::vector<MachineInfo>> Done)>
      List;
  /// Ends everything that runs on the machine and starts its maintenance for
  /// the wave.
  std::function<void(const MachineOrderIssuer &By, const MachineName &Machine,
                     uint64_t Wave, TimePoint Deadline,
                     GatewayCallback<void> Done)>
      Maintain;
  /// Ends everything that runs on the machine and moves it to a pool.
  std::function<void(const MachineOrderIssuer &By, const MachineName &Machine,
                     const ServiceName &Pool, TimePoint Deadline,
                     GatewayCallback<void> Done)>
      Move;
};

/// Tickets, and how long they are valid from now on.
struct AdviceAnswer {
  std::vector<Ticket> Tickets;
  Duration Validity = Duration::zero();
};

/// Requests advice on which executors may run a step.
struct AdviceGateway {
  std::function<void(const AdviceOrder &Request, TimePoint Deadline,
                     GatewayCallback<AdviceAnswer> Done)>
      Ask;
};

/// A maintenance wave that the operator requested.
struct WaveRequest {
  uint64_t Number = 0;
  std::vector<MachineName> Machines;
  Duration Length = Duration::zero();
  /// Maximum number of machines of the wave under maintenance at a time.
  size_t MaxConcurrent = 1;

  bool operator==(const WaveRequest &) const = default;
};

/// Data written by the platform or a client cannot be decoded.
struct DecodeError {
  /// Where the error is, and what was expected there.
  std::string Message;
};

template <typename T> using DecodeResult = Result<T, DecodeError>;

/// Encodes and decodes the data exchanged with the platform and its clients,
/// and names the store keys involved.
struct PlatformCodec {
  /// Store keys written by the operator and the executors.
  std::string ConfigurationKey;
  std::string OperatorPrefix;
  std::string ExecutorPrefix;
  std::string WavePrefix;
  /// Key under which the state of a wave is reported.
  std::function<std::string(uint64_t Wave)> WaveStatusKey;
  std::function<std::string(bool IsCompleted)> EncodeWaveStatus;

  std::function<DecodeResult<FleetConfiguration>(const std::string &Text)>
      DecodeConfiguration;
  std::function<DecodeResult<ExecutorInfo>(const std::string &Key,
                                           const std::string &Text)>
      DecodeExecutor;
  std::function<DecodeResult<WaveRequest>(const std::string &Text)> DecodeWave;
  /// Decodes the request body with which a client submits the job \p Id.
  std::function<DecodeResult<JobSpec>(const JobId &Id, const std::string &Body)>
      DecodeJob;
  std::function<std::string(JobState State)> EncodeState;
  std::function<std::string(size_t Waiting)> EncodeWaiting;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_GATEWAYS_H
