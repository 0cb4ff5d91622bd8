"""Messages between the processes of marigolddoor: codec, frames and connections."""
