"""The entry point of `python -m peatlead`, which runs the command line."""

from .cli import main

if __name__ == "__main__":
    main()
