"""Entry point of `python -m liftrill`."""

from liftrill.cli.main import main

if __name__ == "__main__":
    main()
