#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

namespace camphorsail::ctl {

// Exit codes of camphorsailctl.
constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
/// Another change was accepted first; read the settings again.
constexpr int kExitConflict = 3;
/// A checked document is valid, but has entries without the intended effect.
constexpr int kExitWarnings = 3;
/// The VM or the fleet is currently unable to serve the request.
constexpr int kExitNotReady = 4;

}  // namespace camphorsail::ctl

#endif  // CTL_EXIT_CODE_H_
