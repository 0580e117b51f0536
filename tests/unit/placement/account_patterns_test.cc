#include <algorithm>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/fakes/placement/crowded_service.h"

// Load patterns of many accounts at one overloaded service, in virtual time.
namespace camphorsail {
namespace {

constexpr Urgency kUrgent(1);
constexpr Urgency kLow(5);
constexpr double kWorkMs = 40;
constexpr absl::Duration kObjective = absl::Milliseconds(600);

/// A load on a service: accounts that send at random, of which some repeat
/// refused requests.
struct Pattern {
  CrowdedService::Settings service;
  int accounts = 24;
  /// All requests together take this multiple of the room in the quiet time.
  double usual_load = 0.8;
  /// Length of the quiet time, and of the whole, in seconds.
  double quiet = 8;
  double length = 19;
  /// Factor on the requests of an account from `quiet` on.
  std::function<double(int account)> factor = [](int) { return 1.0; };
  /// Part of the requests that are urgent, from `quiet` on.
  double urgent_part = 0;
  /// Part of the callers that repeat a refused request at once, five times.
  double impatient_part = 0.3;
  /// Room from the third second of the busy time on, relative to before.
  double room_left = 1;
  bool is_cut_off = false;
};

struct Result {
  /// Of each account, and of all, the part of the requests after the quiet
  /// time that were admitted, at once or when they were repeated.
  std::vector<double> served;
  double served_of_all = 0;
  /// Likewise for the urgent requests of all accounts.
  double served_urgent = 0;
  /// Work done, relative to the room.
  double used_room = 0;
  int inversions = 0;
  size_t largest_message = 0;

  /// @return Average of the tenth of the accounts that is served least.
  double WorstTenth() const {
    std::vector<double> sorted = served;
    std::sort(sorted.begin(), sorted.end());
    const size_t count = std::max<size_t>(1, sorted.size() / 10);
    double sum = 0;
    for (size_t i = 0; i < count; ++i) {
      sum += sorted[i];
    }
    return sum / static_cast<double>(count);
  }
};

Result Play(const Pattern& pattern) {
  struct Request {
    double at = 0;
    int account = 0;
    bool is_repeat = false;
    bool is_urgent = false;
    int repeats_left = 0;
    bool operator<(const Request& other) const { return at > other.at; }
  };
  constexpr int kRepeats = 5;
  constexpr double kRepeatSeconds = 0.05;
  constexpr double kRoomLostAfter = 2;
  Random random(7);
  CrowdedService service(pattern.service, /*seed=*/8);
  const double usual =
      pattern.usual_load * pattern.service.room / kWorkMs / pattern.accounts;
  std::priority_queue<Request> requests;
  for (int account = 0; account < pattern.accounts; ++account) {
    for (double at = random.Exponential(1 / usual); at < pattern.length;) {
      Request request{.at = at, .account = account};
      const bool is_busy = at >= pattern.quiet;
      request.is_urgent = is_busy && random.Uniform() < pattern.urgent_part;
      request.repeats_left =
          random.Uniform() < pattern.impatient_part ? kRepeats : 0;
      requests.push(request);
      at += random.Exponential(
          1 / (usual * (is_busy ? pattern.factor(account) : 1)));
    }
  }
  std::vector<double> sent(pattern.accounts);
  std::vector<double> served(pattern.accounts);
  double urgent_sent = 0;
  double urgent_served = 0;
  double worked_before = 0;
  double room = pattern.service.room;
  double offered_room = 0;
  double last = 0;
  if (pattern.is_cut_off) {
    service.CutOff();
  }
  for (; !requests.empty(); requests.pop()) {
    const Request request = requests.top();
    const bool is_busy = request.at >= pattern.quiet;
    if (request.at >= pattern.quiet + kRoomLostAfter) {
      room = pattern.service.room * pattern.room_left;
      service.SetRoom(room);
    }
    service.AdvanceTo(request.at);
    if (!is_busy) {
      worked_before = service.worked();
    } else {
      offered_room += (request.at - std::max(last, pattern.quiet)) * room;
    }
    last = request.at;
    const bool is_first = is_busy && !request.is_repeat;
    sent[request.account] += is_first ? 1 : 0;
    urgent_sent += is_first && request.is_urgent ? 1 : 0;
    const bool admitted =
        service
            .Send(AccountHash(request.account + 1),
                  request.is_urgent ? kUrgent : kLow, kWorkMs, kObjective)
            .admitted;
    if (admitted && is_busy) {
      served[request.account] += 1;
      urgent_served += request.is_urgent ? 1 : 0;
    } else if (!admitted && request.repeats_left > 0) {
      Request repeat = request;
      repeat.at += kRepeatSeconds;
      repeat.is_repeat = true;
      --repeat.repeats_left;
      requests.push(repeat);
      // The queue's top was the request itself unless the repeat is earlier,
      // which it is not.
    }
  }
  Result result;
  double all_sent = 0;
  double all_served = 0;
  for (int account = 0; account < pattern.accounts; ++account) {
    if (sent[account] > 0) {
      result.served.push_back(std::min(1.0, served[account] / sent[account]));
    }
    all_sent += sent[account];
    all_served += served[account];
  }
  result.served_of_all = all_served / all_sent;
  result.served_urgent = urgent_sent > 0 ? urgent_served / urgent_sent : 1;
  result.used_room = (service.worked() - worked_before) / offered_room;
  result.inversions = service.inversions();
  result.largest_message = service.largest_message();
  return result;
}

/// The numbers of gateways and accounts that are planned for, with the number
/// of engines that belongs to them.
struct Size {
  int gateways = 1;
  int accounts = 24;
  double room = 10'000;
};
class AccountPatternTest : public testing::TestWithParam<Size> {
 protected:
  static Pattern Usual() {
    Pattern pattern;
    pattern.service.gateways = GetParam().gateways;
    pattern.service.room = GetParam().room;
    pattern.accounts = GetParam().accounts;
    return pattern;
  }
  /// The rules that hold for every pattern.
  static void ExpectRules(const Result& result) {
    EXPECT_EQ(result.inversions, 0);
    // Apart from chance in the few requests of a small account.
    EXPECT_GE(result.WorstTenth(), result.served_of_all / 4);
    EXPECT_GE(result.used_room, 0.9);
    EXPECT_LE(result.largest_message, 800U);
  }
  /// @return Part of the requests that is served of the accounts that are not
  /// among the first `busy`.
  static double ServedOfOthers(const Result& result, int busy) {
    double sum = 0;
    for (size_t i = busy; i < result.served.size(); ++i) {
      sum += result.served[i];
    }
    return sum / static_cast<double>(result.served.size() - busy);
  }
};

TEST_P(AccountPatternTest, OneAccountSendsTenTimesItsUsual) {
  Pattern pattern = Usual();
  // In a large fleet one account does not fill the service; a tenth does.
  const int busy = pattern.accounts > 100 ? pattern.accounts / 10 : 1;
  pattern.factor = [&](int account) { return account < busy ? 10.0 : 1.0; };
  const Result result = Play(pattern);
  ExpectRules(result);
  pattern.service.has_shares = false;
  const double without = ServedOfOthers(Play(pattern), busy);
  // With hundreds of accounts, `AccountScaleTest` checks the same bound.
  EXPECT_GE(ServedOfOthers(result, busy),
            pattern.accounts > 100 ? without + 0.1 : 0.97);
}

TEST_P(AccountPatternTest, AllAccountsSendTwiceTheRoom) {
  Pattern pattern = Usual();
  pattern.factor = [](int) { return 2.5; };
  ExpectRules(Play(pattern));
}

TEST_P(AccountPatternTest, LowBurstBeforeUrgentRequests) {
  Pattern pattern = Usual();
  pattern.factor = [](int account) { return account % 8 == 0 ? 6.0 : 1.0; };
  pattern.urgent_part = 0.4;
  const Result result = Play(pattern);
  ExpectRules(result);
  EXPECT_GE(result.served_urgent, 0.97);
}

TEST_P(AccountPatternTest, AllCallersRepeatAtOnce) {
  Pattern pattern = Usual();
  pattern.factor = [](int account) { return account % 8 == 0 ? 6.0 : 1.0; };
  pattern.impatient_part = 1;
  ExpectRules(Play(pattern));
}

TEST_P(AccountPatternTest, QuarterOfTheServersIsLostInABurst) {
  Pattern pattern = Usual();
  pattern.factor = [](int account) { return account % 8 == 0 ? 6.0 : 1.0; };
  pattern.room_left = 0.75;
  ExpectRules(Play(pattern));
}

TEST_P(AccountPatternTest, GatewaysThatHearNothingDecideByTheirOwnPart) {
  Pattern pattern = Usual();
  pattern.factor = [](int account) { return account % 8 == 0 ? 6.0 : 1.0; };
  pattern.is_cut_off = true;
  ExpectRules(Play(pattern));
}

// Gateways without any history, before all callers at once: the urgent requests
// are served first from the beginning.
TEST_P(AccountPatternTest, FleetComesBackAtOnce) {
  Pattern pattern = Usual();
  pattern.quiet = 0;
  pattern.length = 8;
  pattern.usual_load = 3;
  pattern.urgent_part = 0.2;
  pattern.impatient_part = 1;
  const Result result = Play(pattern);
  ExpectRules(result);
  EXPECT_GE(result.served_urgent, 0.97);
}

class AccountScaleTest : public AccountPatternTest {};

// Load pattern: a tenth of hundreds of accounts sends ten times its usual.
// Guards against refusing accounts that are within their share.
TEST_P(AccountScaleTest, ATenthOfTheAccountsSendsTenTimesItsUsual) {
  Pattern pattern = Usual();
  const int busy = pattern.accounts / 10;
  pattern.factor = [&](int account) { return account < busy ? 10.0 : 1.0; };
  EXPECT_GE(ServedOfOthers(Play(pattern), busy), 0.97);
}

INSTANTIATE_TEST_SUITE_P(AtScale,
                         AccountScaleTest,
                         testing::Values(Size{33, 200, 40'000},
                                         Size{410, 1100, 400'000}));

INSTANTIATE_TEST_SUITE_P(Sizes,
                         AccountPatternTest,
                         testing::Values(Size{1, 24, 10'000},
                                         Size{33, 24, 40'000},
                                         Size{33, 200, 40'000},
                                         Size{410, 1100, 400'000}),
                         [](const auto& info) {
                           return std::to_string(info.param.gateways) + "x" +
                                  std::to_string(info.param.accounts);
                         });

}  // namespace
}  // namespace camphorsail
