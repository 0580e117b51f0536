#include "camphorsail/net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include "absl/time/clock.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

// Guards against the end of the whole process by one unexpected error: the
// other handlers of the loop go on, and a descriptor whose handler fails does
// not occupy the loop.
TEST(EventLoopTest, FailingHandlerEndsOnlyItsOwnWork) {
  EventLoop loop;
  std::array<int, 2> pipe_fds = {-1, -1};
  ASSERT_EQ(pipe(pipe_fds.data()), 0);
  int failures = 0;
  loop.Watch(pipe_fds[0], EPOLLIN, [&](uint32_t) {
    ++failures;
    throw std::runtime_error("malformed");
  });
  ASSERT_EQ(write(pipe_fds[1], "x", 1), 1);
  int runs = 0;
  loop.Post([] { throw std::runtime_error("unexpected"); });
  loop.Post([&] { ++runs; });
  loop.RunAt(loop.now(), [] { throw 7; });
  loop.RunAt(loop.now(), [&] { ++runs; });
  for (int i = 0; i < 5; ++i) {
    loop.RunAt(loop.now(), [] {});
    loop.RunOnce();
  }
  EXPECT_EQ(runs, 2);
  EXPECT_EQ(failures, 1);
  close(pipe_fds[0]);
  close(pipe_fds[1]);
}

TEST(EventLoopTest, ObserverIsToldWhatKeptTheLoop) {
  EventLoop loop;
  std::array<int, 2> pipe_fds = {-1, -1};
  ASSERT_EQ(pipe(pipe_fds.data()), 0);
  const absl::Duration work = absl::Milliseconds(20);
  absl::Duration backend;
  absl::Duration late;
  loop.SetObserver(
      {.on_callback =
           [&](LoopSource source, absl::Duration took) {
             backend = source == LoopSource::kBackend ? std::max(backend, took)
                                                      : backend;
           },
       .on_timer = [&](absl::Duration lag) { late = std::max(late, lag); }});
  bool timer_ran = false;
  loop.Watch(
      pipe_fds[0], EPOLLIN,
      [&](uint32_t) {
        loop.RunAt(loop.now(), [&timer_ran] { timer_ran = true; });
        absl::SleepFor(work);
      },
      LoopSource::kBackend);
  ASSERT_EQ(write(pipe_fds[1], "x", 1), 1);
  loop.RunOnce();
  EXPECT_TRUE(timer_ran);
  EXPECT_GE(backend, work);
  EXPECT_GE(late, work);
  close(pipe_fds[0]);
  close(pipe_fds[1]);
}

}  // namespace
}  // namespace camphorsail
