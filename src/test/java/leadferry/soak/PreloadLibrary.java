package leadferry.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Builds {@code src/test/native/syscall_faults.c} with the machine's C compiler. */
final class PreloadLibrary {
  private static final Path SOURCE = Path.of("src/test/native/syscall_faults.c");

  private PreloadLibrary() {}

  /**
   * The built library in the folder, or empty where the machine has no C compiler; the reason is
   * printed then.
   */
  static Optional<Path> build(Path folder) throws IOException, InterruptedException {
    Path library = folder.resolve("libsyscall_faults.so");
    Process compiler;
    try {
      compiler =
          new ProcessBuilder(
                  "cc",
                  "-shared",
                  "-fPIC",
                  "-O2",
                  "-Wall",
                  "-Werror",
                  "-o",
                  library.toString(),
                  SOURCE.toString(),
                  "-ldl")
              .inheritIO()
              .start();
    } catch (IOException e) {
      System.out.println(
          "no faults of system calls: this machine has no C compiler (" + e.getMessage() + ")");
      return Optional.empty();
    }
    if (compiler.waitFor() != 0 || !Files.exists(library)) {
      throw new IOException("cc could not build " + SOURCE);
    }
    return Optional.of(library);
  }
}
