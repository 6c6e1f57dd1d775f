#include "simulatedplatform_p.h"

#include <charconv>

namespace whintack::simulation {

using jobs::DecodeError;
using namespace Internal;

template <typename Number>
static std::optional<Number> parseNumber(const std::string &Text) {
  Number Read = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Read);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Read;
}

/// The item of a configuration: its version, and a line for each queue that has
/// as many bytes as a queue on the platform.
static std::string configurationText(const jobs::FleetConfiguration &Written) {
  constexpr size_t QueueBytes = 205;
  std::string Text = std::to_string(Written.Version) + "\n";
  for (const jobs::Queue &Queue : Written.Queues) {
    std::string Line = Queue.Host + Queue.Prefix + " " + Queue.Name + " " +
                       Queue.Service.text();
    Line.resize(QueueBytes, '.');
    Text += Line + "\n";
  }
  return Text;
}

void SimulatedPlatform::configure(const jobs::FleetConfiguration &Newest) {
  this->Configurations[Newest.Version] = Newest;
  this->Store.put(ConfigurationKey, configurationText(Newest));
}

jobs::PlatformCodec SimulatedPlatform::codec() {
  jobs::PlatformCodec Words;
  Words.ConfigurationKey = ConfigurationKey;
  Words.OperatorPrefix = "declared/";
  Words.ExecutorPrefix = ExecutorPrefix;
  Words.WavePrefix = WavePrefix;
  Words.WaveStatusKey = [](uint64_t Wave) {
    return "reported/wave/" + std::to_string(Wave);
  };
  Words.EncodeWaveStatus = [](bool IsCompleted) {
    return std::string(IsCompleted ? "completed" : "running");
  };
  Words.DecodeConfiguration = [this](const std::string &Text)
      -> jobs::DecodeResult<jobs::FleetConfiguration> {
    const auto Version = parseNumber<uint64_t>(Text.substr(0, Text.find('\n')));
    if (!Version || !this->Configurations.contains(*Version))
      return failure(DecodeError{"no such configuration: " + Text});
    return this->Configurations.at(*Version);
  };
  Words.DecodeWave =
      [this](const std::string &Text) -> jobs::DecodeResult<jobs::WaveRequest> {
    const auto Number = parseNumber<uint64_t>(Text);
    if (!Number || !this->Waves.contains(*Number))
      return failure(DecodeError{"no such wave: " + Text});
    return this->Waves.at(*Number);
  };
  Words.DecodeExecutor = [this](const std::string &Key, const std::string &Text)
      -> jobs::DecodeResult<jobs::ExecutorInfo> {
    const size_t Separator = Text.find(' ');
    const auto Found =
        this->Machines.find(jobs::MachineName(Text.substr(0, Separator)));
    const jobs::ExecutorId Id(Key.substr(ExecutorPrefix.size()));
    if (Found == this->Machines.end() || Separator == std::string::npos)
      return failure(DecodeError{"no such machine: " + Text});
    const auto Incarnation =
        parseNumber<jobs::ExecutorIncarnation>(Text.substr(Separator + 1));
    if (!Incarnation)
      return failure(DecodeError{"no such incarnation: " + Text});
    const Machine &Target = *Found->second;
    if (Target.Executor && Target.Executor->info().Id == Id &&
        Target.Executor->info().Incarnation == *Incarnation)
      return Target.Executor->info();
    const auto Earlier = this->EarlierIncarnations.find({Id, *Incarnation});
    if (Earlier != this->EarlierIncarnations.end())
      return Earlier->second;
    // The registration of an executor that has ended stays for
    // ExecutorEntryTtl.
    jobs::ExecutorInfo Info = makeExecutorInfo(Target.Setup, Id);
    Info.Incarnation = *Incarnation;
    return Info;
  };
  Words.DecodeJob =
      [this](const jobs::JobId &Id,
             const std::string &Body) -> jobs::DecodeResult<jobs::JobSpec> {
    const auto Found = this->Templates.find(Body);
    if (Found == this->Templates.end())
      return failure(DecodeError{"no such template: " + Body});
    jobs::JobSpec Spec = Found->second;
    Spec.Id = Id;
    Spec.TaskPayload = Body;
    return Spec;
  };
  Words.EncodeState = [](jobs::JobState State) {
    return std::string(nameOf(jobs::JobStateNames, State));
  };
  Words.EncodeWaiting = [](size_t Waiting) { return std::to_string(Waiting); };
  return Words;
}

} // namespace whintack::simulation
