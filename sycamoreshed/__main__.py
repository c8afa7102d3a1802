"""Entry point of ``python -m sycamoreshed``."""

from sycamoreshed.cli import main

if __name__ == "__main__":
    main.run()
