#ifndef WHINTACK_TESTS_SIMULATEDADVICE_H
#define WHINTACK_TESTS_SIMULATEDADVICE_H

#include "steppedloop.h"

#include "whintack/jobs/gateways.h"

namespace whintack::tests {

/// The advice service as one VM sees it: handles one call at a time, in turn,
/// also if its caller has given it up, and rejects calls while MaxWaiting wait.
class SimulatedAdvice {
public:
  static constexpr size_t MaxWaiting = 32;

  SimulatedAdvice(SteppedLoop &Loop, jobs::AdvicePolicy Policy)
      : Loop(Loop), Policy(Policy) {}

  jobs::AdviceGateway gateway() {
    jobs::AdviceGateway Gateway;
    Gateway.Ask =
        [this](const jobs::AdviceOrder &Request, TimePoint Deadline,
               const jobs::GatewayCallback<jobs::AdviceAnswer> &Done) {
          this->handle(Request, Deadline, Done);
        };
    return Gateway;
  }

  /// Numbers of calls by how they ended.
  size_t Answered = 0;
  size_t GivenUp = 0;
  size_t Rejected = 0;
  /// Number of the next answers to lose.
  size_t LostAnswers = 0;
  /// The time of each answer is this many times the declared one.
  int Slowness = 1;
  std::vector<jobs::AdviceOrder> Requests;

private:
  using Callback = jobs::GatewayCallback<jobs::AdviceAnswer>;

  static void fail(const Callback &Done, jobs::GatewayErrorCode Code) {
    Done(failure(jobs::GatewayError{Code, "no advice"}));
  }

  void handle(const jobs::AdviceOrder &Request, TimePoint Deadline,
              const Callback &Done) {
    this->Requests.push_back(Request);
    const TimePoint Now = this->Loop.Time.now();
    if (this->Waiting >= MaxWaiting) {
      ++this->Rejected;
      fail(Done, jobs::GatewayErrorCode::Busy);
      return;
    }
    ++this->Waiting;
    this->BusyUntil =
        std::max(Now, this->BusyUntil) +
        this->Slowness * this->Policy.responseTime(Request.Candidates.size());
    const auto HasEnded = std::make_shared<bool>(false);
    this->Loop.Queue.schedule(this->BusyUntil, [=, this] {
      --this->Waiting;
      if (*HasEnded)
        return;
      if (this->LostAnswers > 0) {
        --this->LostAnswers;
        return;
      }
      *HasEnded = true;
      ++this->Answered;
      jobs::AdviceAnswer Answer;
      Answer.Validity = this->Policy.Validity;
      for (const jobs::ExecutorId &Each : Request.Candidates)
        Answer.Tickets.push_back({Each, "ticket"});
      Done(Answer);
    });
    this->Loop.Queue.schedule(Deadline, [=, this] {
      if (std::exchange(*HasEnded, true))
        return;
      ++this->GivenUp;
      fail(Done, jobs::GatewayErrorCode::NoAnswer);
    });
  }

  SteppedLoop &Loop;
  jobs::AdvicePolicy Policy;
  TimePoint BusyUntil = TimePoint::min();
  size_t Waiting = 0;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_SIMULATEDADVICE_H
