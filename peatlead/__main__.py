"""`python -m peatlead`: the command line."""

from .cli import main

if __name__ == "__main__":
    main()
