#ifndef WHINTACK_JOBS_GATEWAYS_H
#define WHINTACK_JOBS_GATEWAYS_H

#include "whintack/base/result.h"
#include "whintack/jobs/configuration.h"
#include "whintack/jobs/executor.h"

#include <functional>
#include <optional>

namespace whintack::jobs {

/// How a call to the platform's machines failed.
enum class GatewayErrorCode {
  /// No answer came; the call may have been carried out.
  NoAnswer,
  /// Refused without doing anything, for now.
  Busy,
  /// Another incarnation of the executor answers at the address.
  OtherIncarnation,
  /// Refused: a higher fencing token has been seen.
  Fenced,
  /// Refused for good.
  Refused,
  /// The answer cannot be understood.
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

struct GatewayError {
  GatewayErrorCode Code = GatewayErrorCode::NoAnswer;
  std::string Message;
};

template <typename T> using GatewayResult = Result<T, GatewayError>;
template <typename T>
using GatewayCallback = std::function<void(GatewayResult<T>)>;

/// Where an executor is and which of its lives is meant.
struct ExecutorAddress {
  ExecutorId Id;
  Address Server;
};

/// Asks an executor for its report, and lends it time.
struct ReportRequest {
  uint64_t Token = 0;
  /// Last end that the executor may forget.
  uint64_t ForgetThrough = 0;
  /// Until when everything on the executor may run; nothing extends nothing.
  std::optional<ExecutorTime> LeaseUntil;
  /// How long the executor may wait for an end before it answers.
  Duration Wait = Duration::zero();
};

/// What an executor answered to an order to start.
struct StartAnswer {
  StartOutcome Outcome = StartOutcome::Unknown;
  std::optional<ExecutorTime> At;
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

/// What the platform says of a machine.
enum class MachineState { Up, Moving, Maintenance, Down };

inline constexpr EnumNames<MachineState, 4> MachineStateNames = {{
    {MachineState::Up, "up"},
    {MachineState::Moving, "moving"},
    {MachineState::Maintenance, "maintenance"},
    {MachineState::Down, "down"},
}};

struct MachineInfo {
  MachineName Name;
  ServiceName Pool;
  MachineState State = MachineState::Down;
  DataCentreName DataCentre;
  std::vector<std::string> Labels;
  Room Capacity;
  /// The executor on it; empty if none runs.
  ExecutorId Executor;
};

/// Who gives an order to a machine.
struct MachineOrderer {
  std::string Holder;
  uint64_t Token = 0;
};

/// Calls that change machines. Each callback is called once, on any thread.
struct MachineGateway {
  std::function<void(TimePoint Deadline,
                     GatewayCallback<std::vector<MachineInfo>> Done)>
      List;
  /// Ends everything that runs on the machine and maintains it for the wave.
  std::function<void(const MachineOrderer &By, const MachineName &Machine,
                     uint64_t Wave, TimePoint Deadline,
                     GatewayCallback<void> Done)>
      Maintain;
  /// Ends everything that runs on the machine and moves it to a pool.
  std::function<void(const MachineOrderer &By, const MachineName &Machine,
                     const ServiceName &Pool, TimePoint Deadline,
                     GatewayCallback<void> Done)>
      Move;
};

/// Tickets with the time for which they hold from now on.
struct AdviceAnswer {
  std::vector<Ticket> Good;
  Duration Validity = Duration::zero();
};

/// Asks which executors may run a step.
struct AdviceGateway {
  std::function<void(const AdviceOrder &Question, TimePoint Deadline,
                     GatewayCallback<AdviceAnswer> Done)>
      Ask;
};

/// A wave of maintenance that the operator asks for.
struct WaveRequest {
  uint64_t Number = 0;
  std::vector<MachineName> Machines;
  Duration Length = Duration::zero();
  /// Most machines of the wave under maintenance at a time.
  size_t MostAtOnce = 1;
};

/// Error in something that the platform or a client wrote.
struct DecodeError {
  /// Where it was found, and what was expected there.
  std::string Message;
};

template <typename T> using DecodeResult = Result<T, DecodeError>;

/// Reads and writes what the platform and its clients speak.
struct PlatformWords {
  /// Store keys that the operator and the executors write.
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
  /// Reads the body with which a client hands in the job \p Id.
  std::function<DecodeResult<JobSpec>(const JobId &Id, const std::string &Body)>
      DecodeJob;
  std::function<std::string(JobState State)> EncodeState;
  std::function<std::string(size_t Waiting)> EncodeWaiting;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_GATEWAYS_H
