#include "stepplacement.h"

#include <algorithm>
#include <map>

namespace whintack::jobs::Internal {

std::string rackOf(const ExecutorInfo &Executor) {
  constexpr size_t RackPosition = 1;
  if (Executor.Labels.size() <= RackPosition)
    return {};
  return Executor.Labels[RackPosition];
}

PlacementScore scorePlacement(const StepSpec &Spec,
                              const ComputeResources &Free,
                              const std::string &Rack) {
  PlacementScore Score;
  Score.IsFarFromData = !Spec.DataRack.empty() && Rack != Spec.DataRack;
  const int64_t Left = Free.MilliCores - Spec.bookedResources().MilliCores;
  Score.LeftoverMilliCores = Spec.IsLongRunning ? -Left : Left;
  return Score;
}

size_t countFittingTasks(const StepSpec &Spec, const ComputeResources &Free) {
  const ComputeResources Need = Spec.bookedResources();
  int64_t Fit = static_cast<int64_t>(Spec.Count);
  if (Need.MilliCores > 0)
    Fit = std::min(Fit, Free.MilliCores / Need.MilliCores);
  if (Need.MemoryMb > 0)
    Fit = std::min(Fit, Free.MemoryMb / Need.MemoryMb);
  if (Need.Gpus > 0)
    Fit = std::min(Fit, Free.Gpus / Need.Gpus);
  if (Spec.MaxTasksPerExecutor > 0)
    Fit = std::min(Fit, static_cast<int64_t>(Spec.MaxTasksPerExecutor));
  return static_cast<size_t>(std::max<int64_t>(Fit, 0));
}

std::string rackFittingMostTasks(const StepSpec &Spec,
                                 const std::vector<RackCandidate> &Candidates) {
  std::map<std::string, size_t> Fit;
  for (const RackCandidate &Each : Candidates)
    Fit[Each.Rack] += countFittingTasks(Spec, Each.Free);
  std::string Best;
  size_t Most = 0;
  for (const auto &[Rack, Count] : Fit)
    if (Count > Most) {
      Best = Rack;
      Most = Count;
    }
  return Best;
}

JobEffort estimateEffort(const JobSpec &Spec) {
  std::vector<RemainingStep> All;
  All.reserve(Spec.Steps.size());
  for (const StepSpec &Step : Spec.Steps)
    All.push_back({Step.Count, false});
  return estimateRemainingEffort(Spec, All);
}

JobEffort estimateRemainingEffort(const JobSpec &Spec,
                                  const std::vector<RemainingStep> &Left) {
  constexpr double MillisPerSecond = 1000;
  JobEffort Effort;
  std::vector<Duration> Ends(Spec.Steps.size(), Duration::zero());
  for (size_t Index = 0; Index < Spec.Steps.size(); ++Index) {
    if (Left[Index].IsDone)
      continue;
    const StepSpec &Step = Spec.Steps[Index];
    Duration Begin = Duration::zero();
    for (const size_t Earlier : Step.Dependencies)
      Begin = std::max(Begin, Ends[Earlier]);
    Ends[Index] = Begin + Step.Estimate;
    Effort.CriticalPath = std::max(Effort.CriticalPath, Ends[Index]);
    Effort.Work +=
        static_cast<double>(Left[Index].WaitingTasks) *
        (static_cast<double>(Step.Need.MilliCores) / MilliCoresPerCore) *
        (static_cast<double>(toMilliseconds(Step.Estimate)) / MillisPerSecond);
  }
  return Effort;
}

} // namespace whintack::jobs::Internal
